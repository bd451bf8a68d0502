// Package simeng simulates a model engine in real time: continuous batching,
// limited KV memory with a prefix cache, admission in order of arrival,
// preemption with recomputation, and delayed load reports and cache events.
package simeng

import (
	"time"

	"lycheepond/core/spec"
)

// Config configures an Engine.
type Config struct {
	Name    string
	Model   string
	Version string
	// Platform is the address of the platform's weight store as host:port. Empty
	// means that weights are loaded without it.
	Platform string
	// Slots is the maximum number of sequences that run at the same time.
	Slots int
	// PrefillTPS is the prefill rate in tokens per second.
	PrefillTPS float64
	// DecodeTPS is the decode rate, in tokens per second, of a sequence that runs
	// alone.
	DecodeTPS float64
	// BatchSlope is the increase in the decode time of a step for each further
	// sequence, as a fraction of the time for one sequence.
	BatchSlope float64
	// KVBlocks is the size of the KV memory in blocks of BlockTokens tokens.
	KVBlocks    int
	BlockTokens int
	// LoadLag and EventLag are the delays of load reports and cache events.
	// EventLoss is the fraction of cache events that are never reported.
	LoadLag   time.Duration
	EventLag  time.Duration
	EventLoss float64
	// ChecksFence makes the engine refuse orders with an outdated fencing number.
	ChecksFence bool
	// Speed is a factor for both rates.
	Speed float64
	// Grace is the time after which a request is cancelled if nobody reads its
	// answer, and after which a finished answer that nobody reads is forgotten.
	Grace time.Duration
}

// DefaultConfig returns the configuration of an engine of medium speed.
func DefaultConfig() Config {
	return Config{
		Name: "engine", Model: "roster", Version: "v1", Slots: 16, PrefillTPS: 8000, DecodeTPS: 80,
		BatchSlope: 0.05, KVBlocks: 2048, BlockTokens: 16, LoadLag: 500 * time.Millisecond,
		EventLag: 300 * time.Millisecond, EventLoss: 0.1, Speed: 1, Grace: 5 * time.Second,
	}
}

// Fault is the set of faults that are injected now. The zero value means none.
type Fault struct {
	// Speed is a factor for the configured speed. Zero means 1.
	Speed float64 `json:"speed"`
	// Freeze stops all progress, including load reports.
	Freeze bool `json:"freeze"`
	// TruncateNext is the number of upcoming requests whose answers are truncated
	// halfway.
	TruncateNext int `json:"truncate_next"`
	// Unframed makes streams end with their connection instead of a last chunk. A truncated
	// one then ends inside an event.
	Unframed bool `json:"unframed"`
	// Delay is the time for which a request is held back before it is submitted.
	Delay spec.Duration `json:"delay"`
}

// Record is the record of a request or order that the engine executed.
type Record struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	// Key is the idempotency key of a request.
	Key string `json:"key"`
	// PromptDigest is Digest of the prompt.
	PromptDigest string `json:"prompt_digest"`
	// StartedMS is the time of arrival in milliseconds after the start of the
	// engine.
	StartedMS    int64 `json:"started_ms"`
	Finished     bool  `json:"finished"`
	Cancelled    bool  `json:"cancelled"`
	PromptTokens int   `json:"prompt_tokens"`
	CachedTokens int   `json:"cached_tokens"`
	// WastedPrefillTokens is the number of tokens whose prefill was repeated
	// after a preemption or eviction, or discarded by a cancellation.
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	OutputTokens        int `json:"output_tokens"`
	// Fence and Version are set for orders only.
	Fence   int64  `json:"fence,omitempty"`
	Version string `json:"version,omitempty"`
}

// Kinds of records.
const (
	KindCompletion = "completion"
	KindChat       = "chat"
	KindOrder      = "order"
)

// Stats holds the totals since the start of an engine.
type Stats struct {
	Requests            int64 `json:"requests"`
	Finished            int64 `json:"finished"`
	Cancelled           int64 `json:"cancelled"`
	Preempted           int64 `json:"preempted"`
	PromptTokens        int64 `json:"prompt_tokens"`
	CachedTokens        int64 `json:"cached_tokens"`
	ComputedTokens      int64 `json:"computed_tokens"`
	WastedPrefillTokens int64 `json:"wasted_prefill_tokens"`
	OutputTokens        int64 `json:"output_tokens"`
	Steps               int64 `json:"steps"`
}

// LoadReport is the load report of an engine. KVUsed and KVTotal are in blocks.
type LoadReport struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	KVUsed  int    `json:"kv_used"`
	KVTotal int    `json:"kv_total"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// AsOfMS is the age of the report in milliseconds.
	AsOfMS int64 `json:"as_of_ms"`
}
