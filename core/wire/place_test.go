package wire

import (
	"bytes"
	"reflect"
	"testing"
)

// Guards against place messages that end the link between entries of two versions, and against a
// field that is encoded but not read.
func TestPlaceMessagesOfOtherVersions(t *testing.T) {
	nested := bytes.Repeat([]byte{0x91}, 4<<20)
	for _, tc := range []struct {
		// full has a value in each field, basic only in those of the oldest version.
		full, basic Message
		// older is the encoding of basic by that version, with all its fields.
		older string
	}{
		{
			&PlaceRequest{ID: 7, Pool: "p", Zone: "z1", ShardIndex: 2, CustomerTier: 3, RouteTier: 1, TargetUS: 600, TargetLeftUS: -1, DeadlineLeftUS: 9, PromptTokens: 18, OutputTokens: 28, MayQueue: true, Fingerprint: 1 << 61, Customer: "c", SilenceLeftUS: 4},
			&PlaceRequest{ID: 7, Pool: "p", Zone: "z1", ShardIndex: 2, CustomerTier: 3, RouteTier: 1, TargetUS: 600, TargetLeftUS: -1, DeadlineLeftUS: 9, PromptTokens: 18, OutputTokens: 28, MayQueue: true},
			"\x9c\x07\xa1p\xa2z1\x02\x03\x01\xcd\x02\x58\xff\x09\x12\x1c\xc3",
		},
		{
			&PlaceReply{ID: 7, Decided: true, Endpoint: "e", Addr: "a", Slots: 7, RosterRevision: 4, RefusalReason: 3, RetryAfterUS: 5, SlotIntervalUS: 6, FirstEventUS: 8, WaitUS: 9, QueuedUS: 10, RequestsAhead: 11, PromptTokens: 12, HadFreeSlot: true, Plan: 2, FirstAgoUS: 13, Incarnation: 14, SlowdownPercent: 250, Share: 0.25, ShareDue: 0.125},
			&PlaceReply{ID: 7, Decided: true, Endpoint: "e", Addr: "a", Slots: 7, RosterRevision: 4, RefusalReason: 3, RetryAfterUS: 5, SlotIntervalUS: 6, FirstEventUS: 8, WaitUS: 9, QueuedUS: 10, RequestsAhead: 11, PromptTokens: 12, HadFreeSlot: true},
			"\x9f\x07\xc3\xa1e\xa1a\x07\x04\x03\x05\x06\x08\x09\x0a\x0b\x0c\xc3",
		},
		{
			&PlaceReport{ID: 7, OutputTokens: 14, Outcome: PlaceDeclined, EndpointRequests: 3, Load: &StatedLoad{Slots: 7}},
			&PlaceReport{ID: 7, OutputTokens: 14, Outcome: PlaceDeclined, EndpointRequests: 3},
			"\x94\x07\x0e\x02\x03",
		},
	} {
		v := reflect.ValueOf(tc.full).Elem()
		for i := 1; i < v.NumField(); i++ {
			if v.Field(i).IsZero() {
				t.Errorf("%s: the test has no value for %s", tc.full.Kind(), v.Type().Field(i).Name)
			}
		}
		read := func(body []byte) Message {
			frame := append([]byte{0, byte(len(body) >> 16), byte(len(body) >> 8), byte(len(body)), byte(tc.full.Kind())}, body...)
			m, err := NewReader(bytes.NewReader(frame)).Next()
			if err != nil {
				t.Errorf("%s of %d bytes: %v", tc.full.Kind(), len(body), err)
			}
			return m
		}
		if m := read([]byte(tc.older)); !reflect.DeepEqual(m, tc.basic) {
			t.Errorf("an older message is read as %+v", m)
		}
		if b, err := Append(nil, Basic(tc.full)); err != nil || string(b[headerSize:]) != tc.older {
			t.Errorf("%s for an older peer: %x, %v", tc.full.Kind(), b, err)
		}
		b, err := Append(nil, tc.full)
		if err != nil {
			t.Fatal(err)
		}
		fields := b[headerSize+1:]
		if b[headerSize] == 0xdc {
			fields = fields[2:]
		}
		later := append([]byte{0xdc, 0, byte(v.NumField())}, fields...)
		if m := read(append(later, nested...)); !reflect.DeepEqual(m, tc.full) {
			t.Errorf("a later message is read as %+v", m)
		}
		if _, err := NewReader(bytes.NewReader([]byte{0, 0, 0, 2, byte(tc.full.Kind()), 0x91, 7})).Next(); err == nil {
			t.Errorf("%s with one field was accepted", tc.full.Kind())
		}
	}
}
