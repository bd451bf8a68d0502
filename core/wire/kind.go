package wire

// Kind is the type of a message, the byte that follows the length of a frame.
type Kind uint8

// The kinds of messages. Numbers are part of the protocol: they are never
// reused, and new kinds are added at the end.
const (
	KindHello Kind = 1 + iota
	KindProof
	KindBeat
	KindOffer
	KindWithdraw
	KindClaim
	KindGrant
	KindDeny
	KindReturn
	KindKnown
	KindHead
	KindChunk
	KindEnd
	KindCancel
	KindAttach
	KindLevel
	KindNews
	KindLeaseAsk
	KindLeaseAck
	KindFetch
	KindFetched
	KindHandover
	KindHandAck
	KindTally
	KindSnapshot
	KindRelay
	KindPlaceAsk
	KindPlaceAck
	KindPlaceNote
	kindLimit
)

var kindNames = [...]string{
	KindHello: "hello", KindProof: "proof", KindBeat: "beat", KindOffer: "offer",
	KindWithdraw: "withdraw", KindClaim: "claim", KindGrant: "grant", KindDeny: "deny",
	KindReturn: "return", KindKnown: "known", KindHead: "head", KindChunk: "chunk",
	KindEnd: "end", KindCancel: "cancel", KindAttach: "attach", KindLevel: "level",
	KindNews: "news", KindLeaseAsk: "lease-ask", KindLeaseAck: "lease-ack",
	KindFetch: "fetch", KindFetched: "fetched",
	KindHandover: "handover", KindHandAck: "hand-ack",
	KindTally: "tally", KindSnapshot: "snapshot", KindRelay: "relay",
	KindPlaceAsk: "place-ask", KindPlaceAck: "place-ack", KindPlaceNote: "place-note",
}

// String returns the name of the kind as docs/PROTOCOL.md spells it.
func (k Kind) String() string {
	if k == 0 || k >= kindLimit {
		return "unknown"
	}
	return kindNames[k]
}

// Control reports whether messages of this kind count as control traffic in
// the figures of docs/CAPACITY.md: everything but the bytes of callers.
func (k Kind) Control() bool {
	switch k {
	case KindGrant, KindHead, KindChunk, KindEnd:
		return false
	}
	return true
}

func blank(k Kind) Message {
	switch k {
	case KindHello:
		return new(Hello)
	case KindProof:
		return new(Proof)
	case KindBeat:
		return new(Beat)
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
	case KindKnown:
		return new(Known)
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
	case KindLevel:
		return new(Level)
	case KindNews:
		return new(News)
	case KindLeaseAsk:
		return new(LeaseAsk)
	case KindLeaseAck:
		return new(LeaseAck)
	case KindFetch:
		return new(Fetch)
	case KindFetched:
		return new(Fetched)
	case KindHandover:
		return new(Handover)
	case KindHandAck:
		return new(HandAck)
	case KindTally:
		return new(Tally)
	case KindSnapshot:
		return new(Snapshot)
	case KindRelay:
		return new(Relay)
	case KindPlaceAsk:
		return new(PlaceAsk)
	case KindPlaceAck:
		return new(PlaceAck)
	case KindPlaceNote:
		return new(PlaceNote)
	}
	return nil
}
