// Package engin is a stand-in for a model engine: continuous batching paced in
// real time, limited KV memory with a prefix cache, admission in order of
// arrival, preemption with recomputation, and reports that come late.
package engin

import (
	"time"

	"lycheepond/core/spec"
)

// Config describes an engine.
type Config struct {
	Name    string
	Model   string
	Version string
	// Platform is the address of the weight store; empty loads without it.
	Platform string
	// Slots is how many sequences run at once.
	Slots int
	// PrefillTPS is prompt tokens a second.
	PrefillTPS float64
	// DecodeTPS is the tokens a second of a sequence that runs alone.
	DecodeTPS float64
	// BatchSlope is the growth of a step's time with each further sequence, as
	// a share of the step of one.
	BatchSlope float64
	// KVBlocks is the KV memory in blocks of BlockTokens tokens.
	KVBlocks    int
	BlockTokens int
	// LoadLag and EventLag are how late load and cache events are reported;
	// EventLoss is the share of cache events that are never reported.
	LoadLag   time.Duration
	EventLag  time.Duration
	EventLoss float64
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// Speed multiplies both rates.
	Speed float64
	// Grace is how long a request runs on whose caller went away.
	Grace time.Duration
}

// Default returns the configuration of an engine of middling speed.
func Default() Config {
	return Config{
		Name: "engine", Model: "roster", Version: "v1", Slots: 16, PrefillTPS: 8000, DecodeTPS: 80,
		BatchSlope: 0.05, KVBlocks: 2048, BlockTokens: 16, LoadLag: 500 * time.Millisecond,
		EventLag: 300 * time.Millisecond, EventLoss: 0.1, Speed: 1, Grace: 5 * time.Second,
	}
}

// Fault is how the engine misbehaves at present.
type Fault struct {
	// Speed multiplies the configured speed; zero leaves it as it is.
	Speed float64 `json:"speed"`
	// Freeze stops all progress, the load report included.
	Freeze bool `json:"freeze"`
	// TruncateNext is how many of the next answers break off half way.
	TruncateNext int `json:"truncate_next"`
	// Delay is added before a request is taken.
	Delay spec.Duration `json:"delay"`
}

// Record is one request or order that the engine executed.
type Record struct {
	ID           string `json:"id"`
	Kind         string `json:"kind"`
	Key          string `json:"key"`
	PromptDigest string `json:"prompt_digest"`
	StartedMS    int64  `json:"started_ms"`
	Finished     bool   `json:"finished"`
	Cancelled    bool   `json:"cancelled"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	// WastedPrefillTokens is prompt work that was computed again after
	// preemption or eviction, or thrown away by a cancel.
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	OutputTokens        int `json:"output_tokens"`
	// Fence and Version are set on orders.
	Fence   int64  `json:"fence,omitempty"`
	Version string `json:"version,omitempty"`
}

// The kinds of records.
const (
	KindCompletion = "completion"
	KindChat       = "chat"
	KindOrder      = "order"
)

// Stats are an engine's totals.
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

// Load is the load report.
type Load struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	KVUsed  int    `json:"kv_used"`
	KVTotal int    `json:"kv_total"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// AsOfMS is the age of the report.
	AsOfMS int64 `json:"as_of_ms"`
}
