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

const (
	// handoverTimeout is how long a planned stop waits for the handover after the
	// last request with an idempotency key has ended. Entries check for lost owners
	// four times a second.
	handoverTimeout = 3 * time.Second
	// partRetryInterval is the time after which an unanswered part is sent again.
	partRetryInterval = 300 * time.Millisecond
	// partAnswerBytes is the number of bytes of answers at which a part is full. The
	// last answer may exceed it, but the part stays below wire.MaxFrame.
	partAnswerBytes = 256 << 10
	// incomingRetention is how long the state of an interrupted handover is kept. It
	// is longer than the stop grace of any agent.
	incomingRetention = 10 * time.Minute
)

// outgoingHandover is a handover of key records from this agent.
type outgoingHandover struct {
	pool string
	plan homes.Handover
	// pendingKeys holds the records that have not been acknowledged. The first
	// partKeyCount of them belong to part, the part that is being sent.
	pendingKeys  []*keyRecord
	part         *wire.Handover
	partKeyCount int
	// nextSendAt is when part is sent again.
	nextSendAt time.Duration
	// isDone is set when the last part was acknowledged or no handover is possible.
	isDone bool
}

// handoverID identifies a handover to this agent.
type handoverID struct {
	pool  string
	from  spec.HomeOwner
	epoch int64
}

// incomingHandover is the progress of a handover to this agent.
type incomingHandover struct {
	// nextSeq is the sequence number of the next part.
	nextSeq   uint32
	updatedAt time.Duration
}

func agentProcess(o spec.HomeOwner) wire.AgentProcess {
	return wire.AgentProcess{Name: o.Name, Incarnation: o.Incarnation}
}

func homeOwner(p wire.AgentProcess) spec.HomeOwner {
	return spec.HomeOwner{Name: p.Name, Incarnation: p.Incarnation}
}

// tickHandovers hands key records over when this agent will never act for a key
// again: it is leaving, so it accepts no offers, and no request with an idempotency
// key is left.
func (o *Owner) tickHandovers(now time.Duration) {
	if !o.isLeaving || o.hasKeyedWork() {
		return
	}
	if o.handoverDeadline == 0 {
		o.handoverDeadline = min(now+handoverTimeout, o.leaveDeadline)
	}
	for pool, view := range o.homeViews {
		for _, plan := range view.Handovers(now) {
			o.beginHandover(pool, view, plan)
		}
	}
	for _, h := range o.outgoingHandovers {
		o.sendPart(now, h)
	}
}

// hasKeyedWork reports whether a request with an idempotency key waits or runs.
func (o *Owner) hasKeyedWork() bool {
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
		if k.answer != nil && !k.answer.Ended() {
			return true
		}
	}
	return false
}

func (o *Owner) beginHandover(pool string, view *homes.View, plan homes.Handover) {
	if o.findHandover(pool, plan) != nil {
		return
	}
	plannedSlots := make(map[int]bool, len(plan.Slots))
	for _, s := range plan.Slots {
		plannedSlots[s.Slot] = true
	}
	// If there are more slots than a message holds, there is no handover. The
	// successor then waits for the end of the lease.
	h := &outgoingHandover{pool: pool, plan: plan, isDone: len(plan.Slots) > wire.MaxSlots}
	slots := len(view.Table().Slots)
	for _, k := range o.finishedKeys {
		if k.pool == pool && plannedSlots[homes.Slot([]byte(k.key), slots)] {
			h.pendingKeys = append(h.pendingKeys, k)
		}
	}
	o.outgoingHandovers = append(o.outgoingHandovers, h)
}

func (o *Owner) findHandover(pool string, plan homes.Handover) *outgoingHandover {
	for _, h := range o.outgoingHandovers {
		if h.pool == pool && h.plan.To == plan.To && h.plan.Epoch == plan.Epoch {
			return h
		}
	}
	return nil
}

// sendPart sends the current part on any link. A repetition may go through another
// entry, because not every entry has a link to the receiver.
func (o *Owner) sendPart(now time.Duration, h *outgoingHandover) {
	if h.isDone || now < h.nextSendAt {
		return
	}
	if h.part == nil {
		h.part = &wire.Handover{Pool: h.pool, From: agentProcess(o.cfg.Self), To: agentProcess(h.plan.To), Epoch: h.plan.Epoch}
		o.fillPart(h)
	}
	h.nextSendAt = now + partRetryInterval
	for _, s := range o.sessions {
		if s.link != nil {
			o.send(s.link, h.part)
			return
		}
	}
}

// fillPart adds the next records to the part, and the slots to the last part.
func (o *Owner) fillPart(h *outgoingHandover) {
	h.partKeyCount = 0
	size := 0
	for _, k := range h.pendingKeys {
		if len(h.part.Records) == wire.MaxRecords || size >= partAnswerBytes {
			return
		}
		h.partKeyCount++
		r := wire.KeyRecord{Key: []byte(k.key), FirstID: k.firstID, Digest: k.digest}
		if !k.isRemoved && k.answer.Export(&r) {
			h.part.Records = append(h.part.Records, r)
			size += len(r.Body)
		}
	}
	h.part.Last = true
	for _, s := range h.plan.Slots {
		since := max(s.LostBefore, o.evictedBeforeMS)
		h.part.Slots = append(h.part.Slots, wire.HandoverSlot{Slot: uint32(s.Slot), LostBefore: since})
	}
}

func (o *Owner) handleHandoverAck(now time.Duration, m *wire.HandoverAck) {
	for _, h := range o.outgoingHandovers {
		if h.isDone || h.part == nil || h.pool != m.Pool || h.part.To != m.From || h.part.Epoch != m.Epoch || h.part.Seq != m.Seq {
			continue
		}
		part := h.part
		if part.Last {
			h.isDone, h.part, h.pendingKeys = true, nil, nil
			logs.Info(o.log, logs.EventKeysHandedOver, zap.String("pool", h.pool), zap.String("to", h.plan.To.Name), zap.Int("slots", len(h.plan.Slots)))
			return
		}
		h.pendingKeys, h.nextSendAt = h.pendingKeys[h.partKeyCount:], now
		h.part = &wire.Handover{Pool: part.Pool, From: part.From, To: part.To, Epoch: part.Epoch, Seq: part.Seq + 1}
		o.fillPart(h)
		o.sendPart(now, h)
	}
}

// handoversComplete reports whether a planned stop has no handover to wait for.
func (o *Owner) handoversComplete(now time.Duration) bool {
	if !o.hasLink() || len(o.homeViews) == 0 || (o.handoverDeadline != 0 && now >= o.handoverDeadline) {
		return true
	}
	for pool, view := range o.homeViews {
		if view.OwnsAnySlot() || o.handoverDeadline == 0 {
			return false
		}
		for _, plan := range view.Handovers(now) {
			if h := o.findHandover(pool, plan); h == nil || !h.isDone {
				return false
			}
		}
	}
	return true
}

func (o *Owner) hasLink() bool {
	for _, s := range o.sessions {
		if s.link != nil {
			return true
		}
	}
	return false
}

// handleHandover handles one part from a leaving agent. A part that cannot be
// imported gets no reply, and the sender repeats it until its handover times out.
// The result is then the same as without a handover.
func (o *Owner) handleHandover(now time.Duration, p *Peer, m *wire.Handover) {
	view := o.homeViews[m.Pool]
	if o.isLeaving || view == nil || homeOwner(m.To) != o.cfg.Self || view.Table().Epoch < m.Epoch || len(o.keys)+len(m.Records) > maxKeys {
		return
	}
	id := handoverID{pool: m.Pool, from: homeOwner(m.From), epoch: m.Epoch}
	progress := o.incomingHandovers[id]
	if m.Seq > progress.nextSeq {
		return
	}
	if m.Seq == progress.nextSeq {
		o.importPart(now, view, id, m)
		for otherID, other := range o.incomingHandovers {
			if now-other.updatedAt > incomingRetention {
				delete(o.incomingHandovers, otherID)
			}
		}
		o.incomingHandovers[id] = incomingHandover{nextSeq: progress.nextSeq + 1, updatedAt: now}
	}
	o.send(p, &wire.HandoverAck{Pool: m.Pool, From: m.To, To: m.From, Epoch: m.Epoch, Seq: m.Seq})
}

// importPart stores the records of one part. They are valid even if the later
// parts never arrive.
func (o *Owner) importPart(now time.Duration, view *homes.View, id handoverID, m *wire.Handover) {
	slots := len(view.Table().Slots)
	for i := range m.Records {
		r := &m.Records[i]
		if o.keys[string(r.Key)] != nil || !view.ExpectsHandover(homes.Slot(r.Key, slots), id.from, id.epoch) {
			continue
		}
		k := &keyRecord{key: string(r.Key), pool: m.Pool, firstID: r.FirstID, digest: r.Digest, answer: answer.Import(&o.budget, r), endedAt: now}
		o.keys[k.key] = k
		o.finishedKeys = append(o.finishedKeys, k)
	}
	if !m.Last {
		return
	}
	slotList := make([]homes.SlotHandover, 0, len(m.Slots))
	for _, s := range m.Slots {
		slotList = append(slotList, homes.SlotHandover{Slot: int(s.Slot), LostBefore: s.LostBefore})
	}
	view.AcceptHandover(id.from, id.epoch, slotList)
	logs.Info(o.log, logs.EventKeyTakenOver, zap.String("pool", m.Pool), zap.String("from", m.From.Name), zap.Int("slots", len(slotList)))
}
