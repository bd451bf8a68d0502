package logs

import "go.uber.org/zap"

// Event is the name of an event in the log. Each line has one under the key "event",
// so that alerts need not match message texts. docs/OPERATIONS.md lists all events.
type Event string

// The events. A name is never reused with another meaning.
const (
	EventStarting         Event = "starting"
	EventReady            Event = "ready"
	EventNotReady         Event = "not_ready"
	EventLeaving          Event = "leaving"
	EventStopped          Event = "stopped"
	EventStopSlow         Event = "stop_slow"
	EventRequestRefused   Event = "request_refused"
	EventRequestUnknown   Event = "request_unknown"
	EventRequestReturned  Event = "request_returned"
	EventRequestCancelled Event = "request_cancelled"
	EventRequestResumed   Event = "request_resumed"
	EventRequestDone      Event = "request_done"
	EventRosterChanged    Event = "roster_changed"
	EventSettingsRead     Event = "settings_read"
	EventPeerSilent       Event = "peer_silent"
	EventProcessPaused    Event = "held_up"
	EventOwnerLate        Event = "owner_late"
	EventConnectionsLent  Event = "connections_lent"
	EventEndpointMoved    Event = "endpoint_moved"
	EventEndpointLeaving  Event = "endpoint_leaving"
	EventEndpointRests    Event = "endpoint_rests"
	EventPeerRecovered    Event = "peer_heard"
	EventLinesDropped     Event = "lines_dropped"
	EventEntryForgotten   Event = "entry_forgotten"
	EventKeyKnown         Event = "key_known"
	EventLinkUp           Event = "link_up"
	EventLinkLost         Event = "link_lost"
	EventLinkClosed       Event = "link_closed"
	EventLinkRefused      Event = "link_refused"
	EventLevelChanged     Event = "level_changed"
	EventConfigChanged    Event = "config_changed"
	EventConfigKept       Event = "config_kept"
	EventConfigRejected   Event = "config_rejected"
	EventConfigFromPeers  Event = "config_from_peers"
	EventPlatformAway     Event = "platform_away"
	EventPlatformBack     Event = "platform_back"
	EventPlatformRestored Event = "platform_restored"
	EventKnowledgeStale   Event = "knowledge_old"
	EventKnowledgeFresh   Event = "knowledge_fresh"
	EventKeyTakenOver     Event = "key_taken_over"
	EventKeysHandedOver   Event = "keys_handed_over"
	EventKeysReloaded     Event = "keys_reloaded"
	EventCertsReloaded    Event = "certs_reloaded"
	EventSettingsRejected Event = "settings_rejected"
	EventHomesChanged     Event = "homes_changed"
	EventLeaseLost        Event = "lease_lost"
	EventOrderGiven       Event = "order_given"
	EventOrderRefused     Event = "order_refused"
	EventOrderDone        Event = "order_done"
	EventEndpointSlow     Event = "endpoint_slow"
	EventEndpointAway     Event = "endpoint_away"
	EventEndpointBack     Event = "endpoint_back"
	EventAnswerBroken     Event = "answer_broken"
	EventAnswerLate       Event = "answer_late"
	EventAnswerUnbuffered Event = "answer_unbuffered"
	EventStreamTakenUp    Event = "stream_taken_up"
	EventBadFrame         Event = "bad_frame"
	EventConnectionClosed Event = "connection_closed"
	EventRequestCrossed   Event = "request_crossed"
	EventAnswerNotRead    Event = "answer_not_taken"
	EventHandlerPanicked  Event = "handler_panicked"
	EventServerMessage    Event = "server_told"
	EventEndpointCrashed  Event = "endpoint_crashed"
	EventQuarantined      Event = "quarantined"
	EventQuarantineLifted Event = "quarantine_lifted"
	EventLimitChanged     Event = "limit_changed"
	EventRollout          Event = "rollout"
	EventRolloutRejected  Event = "rollout_rejected"
	EventRolloutWritten   Event = "rollout_written"
	EventFailed           Event = "failed"
)

// Field keys that several lines share.
const (
	keyEvent   = "event"
	keyRequest = "request_id"
)

// Info writes one line for an event.
func Info(l *zap.Logger, e Event, fields ...zap.Field) { l.Info(string(e), fields...) }

// Warn writes one line for an event that an operator may have to act on.
func Warn(l *zap.Logger, e Event, fields ...zap.Field) { l.Warn(string(e), fields...) }

// Error writes one line for an event that an operator has to act on.
func Error(l *zap.Logger, e Event, fields ...zap.Field) { l.Error(string(e), fields...) }

// Request returns the field for a request's ID.
func Request(id interface{ String() string }) zap.Field { return zap.Stringer(keyRequest, id) }
