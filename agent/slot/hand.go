package slot

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/answer"
	"lycheepond/core/homes"
	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// Figures of the handover. They are chosen, to be measured.
const (
	// handWait is how long a planned stop waits for the handover once no keyed
	// work is left. Entries look for lost owners four times a second.
	handWait = 3 * time.Second
	// handAgain is when a part without an answer is sent again.
	handAgain = 300 * time.Millisecond
	// handSize is how many bytes of answers fill a part; one answer more may
	// exceed it, which stays below wire.MaxFrame.
	handSize = 256 << 10
	// takeKeep is how long the state of a handover that stopped half way is
	// remembered. No agent's grace time is as long.
	takeKeep = 10 * time.Minute
)

// hand is a gift that this agent hands over.
type hand struct {
	pool string
	gift homes.Gift
	// keys are the records that have not been confirmed, of which part holds
	// the first taken.
	keys  []*keyRec
	part  *wire.Handover
	taken int
	next  time.Duration
	done  bool
}

// takeID names a handover to this agent.
type takeID struct {
	pool string
	from spec.HomeOwner
	took int64
}

// taking is how far a handover to this agent has come.
type taking struct {
	// seq is the part that comes next.
	seq uint32
	at  time.Duration
}

func party(o spec.HomeOwner) wire.AgentProcess {
	return wire.AgentProcess{Name: o.Name, Incarnation: o.Incarnation}
}

func homeOwner(p wire.AgentProcess) spec.HomeOwner {
	return spec.HomeOwner{Name: p.Name, Incarnation: p.Incarnation}
}

// tickHand hands records over once this agent will never act for a key again:
// it is leaving, so it takes no offers, and no keyed work is left.
func (o *Owner) tickHand(now time.Duration) {
	if !o.leaving || o.keyedWork() {
		return
	}
	if o.handBy == 0 {
		o.handBy = min(now+handWait, o.leaveBy)
	}
	for pool, h := range o.homes {
		for _, g := range h.Gifts(now) {
			o.beginHand(pool, h, g)
		}
	}
	for _, h := range o.hands {
		o.sendHand(now, h)
	}
}

func (o *Owner) keyedWork() bool {
	for _, r := range o.waiting {
		if r.key != nil {
			return true
		}
	}
	for _, r := range o.running {
		if r.key != nil {
			return true
		}
	}
	for _, k := range o.keys {
		if k.log != nil && !k.log.Ended() {
			return true
		}
	}
	return false
}

func (o *Owner) beginHand(pool string, holder *homes.Holder, g homes.Gift) {
	if o.handOf(pool, g) != nil {
		return
	}
	in := make(map[int]bool, len(g.Shares))
	for _, s := range g.Shares {
		in[s.Slot] = true
	}
	// A table of more slots than fit is left to the lease.
	h := &hand{pool: pool, gift: g, done: len(g.Shares) > wire.MaxSlots}
	slots := len(holder.Table().Slots)
	for _, k := range o.oldKeys {
		if k.pool == pool && in[homes.Slot([]byte(k.key), slots)] {
			h.keys = append(h.keys, k)
		}
	}
	o.hands = append(o.hands, h)
}

func (o *Owner) handOf(pool string, g homes.Gift) *hand {
	for _, h := range o.hands {
		if h.pool == pool && h.gift.To == g.To && h.gift.Took == g.Took {
			return h
		}
	}
	return nil
}

// sendHand sends the part under way over any link. Another try may go through
// another entry, because not every entry is linked to the receiver.
func (o *Owner) sendHand(now time.Duration, h *hand) {
	if h.done || now < h.next {
		return
	}
	if h.part == nil {
		h.part = &wire.Handover{Pool: h.pool, From: party(o.cfg.Self), To: party(h.gift.To), Epoch: h.gift.Took}
		o.fill(h)
	}
	h.next = now + handAgain
	for _, s := range o.sessions {
		if s.link != nil {
			o.send(s.link, h.part)
			return
		}
	}
}

// fill puts the next records into the part.
func (o *Owner) fill(h *hand) {
	h.taken = 0
	size := 0
	for _, k := range h.keys {
		if len(h.part.Records) == wire.MaxRecords || size >= handSize {
			return
		}
		h.taken++
		r := wire.KeyRecord{Key: []byte(k.key), FirstID: k.first, Digest: k.digest}
		if !k.lost && k.log.Export(&r) {
			h.part.Records = append(h.part.Records, r)
			size += len(r.Body)
		}
	}
	h.part.Last = true
	for _, s := range h.gift.Shares {
		since := max(s.Since, o.keyFloor)
		h.part.Slots = append(h.part.Slots, wire.HandoverSlot{Slot: uint32(s.Slot), LostBefore: since})
	}
}

func (o *Owner) handAck(now time.Duration, m *wire.HandoverAck) {
	for _, h := range o.hands {
		if h.done || h.part == nil || h.pool != m.Pool || h.part.To != m.From || h.part.Epoch != m.Epoch || h.part.Seq != m.Seq {
			continue
		}
		last := h.part
		if last.Last {
			h.done, h.part, h.keys = true, nil, nil
			logs.Info(o.log, logs.EventKeysHandedOver, zap.String("pool", h.pool), zap.String("to", h.gift.To.Name), zap.Int("slots", len(h.gift.Shares)))
			return
		}
		h.keys, h.next = h.keys[h.taken:], now
		h.part = &wire.Handover{Pool: last.Pool, From: last.From, To: last.To, Epoch: last.Epoch, Seq: last.Seq + 1}
		o.fill(h)
		o.sendHand(now, h)
	}
}

// handed reports whether a planned stop need not wait for a handover.
func (o *Owner) handed(now time.Duration) bool {
	if !o.linked() || len(o.homes) == 0 || (o.handBy != 0 && now >= o.handBy) {
		return true
	}
	for pool, holder := range o.homes {
		if holder.Holds() || o.handBy == 0 {
			return false
		}
		for _, g := range holder.Gifts(now) {
			if h := o.handOf(pool, g); h == nil || !h.done {
				return false
			}
		}
	}
	return true
}

func (o *Owner) linked() bool {
	for _, s := range o.sessions {
		if s.link != nil {
			return true
		}
	}
	return false
}

// handover takes in one part from an owner that leaves. A part that cannot be
// taken in gets no answer, and the sender tries again until it has to go; then
// all is as without a handover.
func (o *Owner) handover(now time.Duration, p *Peer, m *wire.Handover) {
	h := o.homes[m.Pool]
	if o.leaving || h == nil || homeOwner(m.To) != o.cfg.Self || h.Table().Epoch < m.Epoch || len(o.keys)+len(m.Records) > maxKeys {
		return
	}
	id := takeID{pool: m.Pool, from: homeOwner(m.From), took: m.Epoch}
	t := o.takes[id]
	if m.Seq > t.seq {
		return
	}
	if m.Seq == t.seq {
		o.take(now, h, id, m)
		for old, other := range o.takes {
			if now-other.at > takeKeep {
				delete(o.takes, old)
			}
		}
		o.takes[id] = taking{seq: t.seq + 1, at: now}
	}
	o.send(p, &wire.HandoverAck{Pool: m.Pool, From: m.To, To: m.From, Epoch: m.Epoch, Seq: m.Seq})
}

// take keeps the records of one part. They are true even if the parts behind
// them never come.
func (o *Owner) take(now time.Duration, h *homes.Holder, id takeID, m *wire.Handover) {
	slots := len(h.Table().Slots)
	for i := range m.Records {
		r := &m.Records[i]
		if o.keys[string(r.Key)] != nil || !h.Expects(homes.Slot(r.Key, slots), id.from, id.took) {
			continue
		}
		k := &keyRec{key: string(r.Key), pool: m.Pool, first: r.FirstID, digest: r.Digest, log: answer.Import(&o.budget, r), ended: now}
		o.keys[k.key] = k
		o.oldKeys = append(o.oldKeys, k)
	}
	if !m.Last {
		return
	}
	shares := make([]homes.Share, 0, len(m.Slots))
	for _, s := range m.Slots {
		shares = append(shares, homes.Share{Slot: int(s.Slot), Since: s.LostBefore})
	}
	h.Receive(id.from, id.took, shares)
	logs.Info(o.log, logs.EventKeyTakenOver, zap.String("pool", m.Pool), zap.String("from", m.From.Name), zap.Int("slots", len(shares)))
}
