package wire

// Kind is the type of a message: the byte that follows the length of a frame.
type Kind uint8

// The kinds of messages. The numbers are part of the protocol: they are never reused,
// and new kinds are added at the end.
const (
	KindHello Kind = 1 + iota
	KindProof
	KindHeartbeat
	KindOffer
	KindWithdraw
	KindClaim
	KindGrant
	KindDeny
	KindReturn
	KindKeyStatus
	KindHead
	KindChunk
	KindEnd
	KindCancel
	KindAttach
	KindShedLevel
	KindObjectUpdate
	KindLeaseRequest
	KindLeaseReply
	KindFetch
	KindFetchDone
	KindHandover
	KindHandoverAck
	KindTally
	KindSnapshot
	KindRelay
	KindPlaceRequest
	KindPlaceReply
	KindPlaceReport
	KindStreamOrigins
	KindOriginQuery
	KindOriginReply
	KindPlaceHold
	KindPlaceBookings
	// kindLimit is one more than the largest kind.
	kindLimit
)

var kindNames = [...]string{
	KindHello: "hello", KindProof: "proof", KindHeartbeat: "beat", KindOffer: "offer",
	KindWithdraw: "withdraw", KindClaim: "claim", KindGrant: "grant", KindDeny: "deny",
	KindReturn: "return", KindKeyStatus: "known", KindHead: "head", KindChunk: "chunk",
	KindEnd: "end", KindCancel: "cancel", KindAttach: "attach", KindShedLevel: "level",
	KindObjectUpdate: "news", KindLeaseRequest: "lease-ask", KindLeaseReply: "lease-ack",
	KindFetch: "fetch", KindFetchDone: "fetched",
	KindHandover: "handover", KindHandoverAck: "hand-ack",
	KindTally: "tally", KindSnapshot: "snapshot", KindRelay: "relay",
	KindPlaceRequest: "place-ask", KindPlaceReply: "place-ack", KindPlaceReport: "place-note",
	KindStreamOrigins: "origins", KindOriginQuery: "origin-ask", KindOriginReply: "origin-ack",
	KindPlaceHold: "place-hold", KindPlaceBookings: "place-booked",
}

// String returns the name of the kind as docs/PROTOCOL.md spells it.
func (k Kind) String() string {
	if k == 0 || k >= kindLimit {
		return "unknown"
	}
	return kindNames[k]
}

// IsControl reports whether messages of this kind count as control traffic in
// docs/CAPACITY.md: everything but callers' requests and answers.
func (k Kind) IsControl() bool {
	switch k {
	case KindGrant, KindHead, KindChunk, KindEnd:
		return false
	}
	return true
}

// newMessage returns an empty message of kind k, or nil if the kind is unknown.
func newMessage(k Kind) Message {
	switch k {
	case KindHello:
		return new(Hello)
	case KindProof:
		return new(Proof)
	case KindHeartbeat:
		return new(Heartbeat)
	case KindOffer:
		return new(Offer)
	case KindWithdraw:
		return new(Withdraw)
	case KindClaim:
		return new(Claim)
	case KindGrant:
		return new(Grant)
	case KindDeny:
		return new(Deny)
	case KindReturn:
		return new(Return)
	case KindKeyStatus:
		return new(KeyStatus)
	case KindHead:
		return new(Head)
	case KindChunk:
		return new(Chunk)
	case KindEnd:
		return new(End)
	case KindCancel:
		return new(Cancel)
	case KindAttach:
		return new(Attach)
	case KindShedLevel:
		return new(ShedLevel)
	case KindObjectUpdate:
		return new(ObjectUpdate)
	case KindLeaseRequest:
		return new(LeaseRequest)
	case KindLeaseReply:
		return new(LeaseReply)
	case KindFetch:
		return new(Fetch)
	case KindFetchDone:
		return new(FetchDone)
	case KindHandover:
		return new(Handover)
	case KindHandoverAck:
		return new(HandoverAck)
	case KindTally:
		return new(Tally)
	case KindSnapshot:
		return new(Snapshot)
	case KindRelay:
		return new(Relay)
	case KindPlaceRequest:
		return new(PlaceRequest)
	case KindPlaceReply:
		return new(PlaceReply)
	case KindPlaceReport:
		return new(PlaceReport)
	case KindPlaceHold:
		return new(PlaceHold)
	case KindPlaceBookings:
		return new(PlaceBookings)
	case KindStreamOrigins:
		return new(StreamOrigins)
	case KindOriginQuery:
		return new(OriginQuery)
	case KindOriginReply:
		return new(OriginReply)
	}
	return nil
}
