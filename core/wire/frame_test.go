package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"lycheepond/core/ident"
)

// sampleMessages returns one message of each kind.
func sampleMessages() []Message {
	id := ident.Make(3, 4)
	return []Message{
		&Hello{Version: 1, Role: RoleEntry, Name: "e1", Zone: "z1", Nonce: make([]byte, nonceSize)},
		&Proof{MAC: []byte{1}}, &Heartbeat{Load: Load{InFlight: 3, RunningTiers: 5}},
		&Offer{ID: id, Pool: "p", KeyHash: []byte{7}, KeyCreatedMS: 1 << 40}, &Withdraw{ID: id}, &Claim{ID: id},
		&Grant{ID: id, Method: "POST", Header: []Field{{Name: "A", Value: "b"}}, Body: []byte("x")},
		&Deny{ID: id}, &Return{ID: id, Reason: ReasonShed}, &KeyStatus{ID: id, State: KeyJoined},
		&Head{ID: id, Status: 200}, &Chunk{ID: id, Seq: 9, Data: []byte("data")},
		&End{ID: id, Complete: true, Usage: Usage{OutputTokens: 4}}, &Cancel{ID: id},
		&Attach{ID: id, NextSeq: 2}, &ShedLevel{Pool: "p", Level: 2}, &ObjectUpdate{ObjectKind: "class", Data: []byte("{}")},
		&LeaseRequest{Seq: 1}, &LeaseReply{Seq: 1, Confirmed: true}, &Fetch{}, &FetchDone{Version: 3},
		&Handover{
			Pool: "p", From: AgentProcess{Name: "a", Incarnation: 1}, Epoch: 2, Last: true, Slots: HandoverSlots{{Slot: 4, LostBefore: 5}},
			Records: KeyRecords{{Key: []byte("k"), FirstID: id, Status: 200, Header: Fields{{Name: "A", Value: "b"}}, Body: []byte("x")}},
		},
		&HandoverAck{Pool: "p", Epoch: 2, Seq: 1},
		&Tally{Addr: "a", ConfigRevision: 3, Customers: []CustomerUsage{{Customer: "c", Total: 2.5}}, Endpoints: []EndpointLoad{{Endpoint: "e", Requests: 1}}, Seq: 3, Full: true, MissingFrom: []string{"e3"}, Freshness: []Freshness{{Content: SnapshotRoster, AgeMS: 40, RefreshID: 7}}, UptimeMS: 1 << 33, Capacity: 800},
		&Snapshot{Content: SnapshotConfig, Revision: 3, Body: []byte("x")},
		&Relay{Tallies: Tallies{{Name: "e2", Zone: "z1", Incarnation: 4, Body: []byte{1}}}},
		&PlaceRequest{ID: 7, Pool: "p", Zone: "z1", ShardIndex: 2, RouteTier: 1, TargetUS: 600000, TargetLeftUS: 580000, DeadlineLeftUS: 3000000, PromptTokens: 1800, OutputTokens: 28, MayQueue: true, Fingerprint: 1 << 61, Customer: "c", SilenceLeftUS: 4000000},
		&PlaceReply{ID: 7, Decided: true, Endpoint: "e", Addr: "a", Slots: 7, RosterRevision: 4, FirstEventUS: 90000, RequestsAhead: 3, PromptTokens: 2400, HadFreeSlot: true, Incarnation: 1700, Share: 0.25, ShareDue: 0.125},
		&PlaceReport{ID: 7, OutputTokens: 14, Outcome: PlaceResult, Load: &StatedLoad{Running: 3, Slots: 7, SlowdownPercent: 250}},
		&StreamOrigins{Streams: []StreamOrigin{{Key: 1 << 60, Pool: "p", Version: "v1"}}}, &OriginQuery{ID: 8, Pool: "p", Key: 1 << 60}, &OriginReply{ID: 8, Known: true, Pool: "p", Version: "v1"},
		&PlaceHold{ID: 7, MaxWaitUS: 900000}, &PlaceBookings{Pool: "p", Zone: "z1", Bookings: Bookings{{Fingerprint: 1 << 61, RouteTier: 1, AcceptedAgoUS: 40000, DueUS: 3000000, TargetUS: 600000, DeadlineLeftUS: 9000000, Plan: 2}}},
	}
}

// Every kind of message must decode to a message that has the same encoding.
func TestEveryKindRoundTrips(t *testing.T) {
	all := sampleMessages()
	if len(all) != int(kindLimit)-1 {
		t.Fatalf("%d samples for %d kinds", len(all), kindLimit-1)
	}
	for _, m := range all {
		t.Run(m.Kind().String(), func(t *testing.T) {
			buf, err := Append(nil, m)
			if err != nil {
				t.Fatal(err)
			}
			got, err := NewReader(bytes.NewReader(buf)).Next()
			if err != nil {
				t.Fatal(err)
			}
			again, err := Append(nil, got)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(buf, again) {
				t.Fatalf("%x became %x", buf, again)
			}
		})
	}
}

// A peer dies while it sends a frame, or a process that is not lycheepond dials the
// link port. The link must close with an error that says so, and no part of the
// incomplete frame may be handled.
func TestDamagedFrames(t *testing.T) {
	whole, err := Append(nil, &Chunk{ID: ident.Make(1, 1), Data: []byte("abc")})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name  string
		input []byte
		want  error
	}{
		{"nothing", nil, io.EOF},
		{"cut in the header", whole[:3], io.ErrUnexpectedEOF},
		{"cut in the body", whole[:len(whole)-1], io.ErrUnexpectedEOF},
		{"huge length", []byte{0xff, 0xff, 0xff, 0xff, 1}, ErrFrameSize},
		{"unknown kind", []byte{0, 0, 0, 0, 200}, errUnknownKind},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := NewReader(bytes.NewReader(tc.input)).Next(); !errors.Is(err, tc.want) {
				t.Fatalf("error %v, want %v", err, tc.want)
			}
		})
	}
}

// Guards against a peer that makes an entry keep a list of any length.
func TestTooManyBookingsAreRejected(t *testing.T) {
	for n, ok := range map[int]bool{MaxBookings: true, MaxBookings + 1: false} {
		buf, err := Append(nil, &PlaceBookings{Bookings: make(Bookings, n)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := NewReader(bytes.NewReader(buf)).Next(); (err == nil) != ok {
			t.Errorf("%d bookings: %v", n, err)
		}
	}
}

// FuzzReader checks that no input crashes the reader.
func FuzzReader(f *testing.F) {
	for _, m := range sampleMessages() {
		buf, err := Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(buf)
		f.Add(buf[:len(buf)/2])
	}
	f.Fuzz(func(_ *testing.T, input []byte) {
		r := NewReader(bytes.NewReader(input))
		for {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}

// A hostile peer sends a small frame that states an enormous list length, or one with
// endlessly nested lists. Without a bound the process would run out of memory or
// stack, and all its callers would lose their answers. With the bound only the link
// closes.
func TestHostileLengths(t *testing.T) {
	id := ident.Make(1, 1)
	frame := func(k Kind, body []byte) []byte {
		head := []byte{byte(len(body) >> 24), byte(len(body) >> 16), byte(len(body) >> 8), byte(len(body)), byte(k)}
		return append(head, body...)
	}
	withID := func(n byte, rest ...byte) []byte {
		body := append([]byte{0x90 | n, 0xc4, ident.Size}, id[:]...)
		return append(body, rest...)
	}
	handover := []byte{0x98, 0xa1, 'p', 0x92, 0xa1, 'a', 1, 0x92, 0xa1, 'b', 1, 2, 0}
	handover = handover[:len(handover):len(handover)]
	endless := bytes.Repeat([]byte{0x91}, MaxFrame-64)
	for _, tc := range []struct {
		name  string
		input []byte
	}{
		{"list of headers", frame(KindHead, withID(3, 0xcd, 0, 200, 0xdd, 0xff, 0xff, 0xff, 0xff))},
		{"list of headers too long by one", frame(KindHead, withID(3, 0xcd, 0, 200, 0xdc, 1, 1))},
		{"nested lists after the last field", frame(KindDeny, withID(2, endless...))},
		{"list of records", frame(KindHandover, append(handover, 0xdd, 0xff, 0xff, 0xff, 0xff))},
		{"list of records too long by one", frame(KindHandover, append(handover, 0xdc, 0, MaxRecords+1))},
		{"list of slots", frame(KindHandover, append(handover, 0x90, 0xc3, 0xdd, 0xff, 0xff, 0xff, 0xff))},
		{"body of bytes", frame(KindChunk, withID(3, 0, 0xc6, 0xff, 0xff, 0xff, 0xff))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var bad *FrameError
			if _, err := NewReader(bytes.NewReader(tc.input)).Next(); !errors.As(err, &bad) {
				t.Fatalf("error %v", err)
			}
		})
	}
}
