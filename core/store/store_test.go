package store

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"testing"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

func object(t testing.TB, kind, name string, version int64, o any) plat.Event {
	t.Helper()
	data, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	return plat.Event{Object: plat.Object{Kind: kind, Name: name, Version: version, Data: data}}
}

func class(t testing.TB, name string, version int64, tier uint8) plat.Event {
	return object(t, spec.KindClass, name, version, spec.Class{Name: name, Tier: tier})
}

func customer(t testing.TB, name string, version int64, keys ...string) plat.Event {
	c := spec.Customer{Name: name}
	for _, k := range keys {
		sum := sha256.Sum256([]byte(k))
		c.Keys = append(c.Keys, spec.Key{SHA256: hex.EncodeToString(sum[:]), Class: "swap"})
	}
	return object(t, spec.KindCustomer, name, version, c)
}

func accept(t testing.TB, s *Store, events ...plat.Event) {
	t.Helper()
	for _, ev := range events {
		if _, err := s.Accept(ev); err != nil {
			t.Fatal(err)
		}
	}
}

// An operator writes a class with a tier that does not exist directly to the platform,
// without the command line's check. Requests of the class must continue under the last
// good version, and the status must name the bad one.
func TestRejectedObject(t *testing.T) {
	s := New()
	accept(t, s, class(t, "swap", 1, 0))
	_, err := s.Accept(class(t, "swap", 2, 9))
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		t.Fatalf("got %v, want a RejectedError", err)
	}
	if c, ok := s.Class("swap"); !ok || c.Tier != 0 {
		t.Fatalf("class in force: %+v %v, want tier 0", c, ok)
	}
	if r := s.Rejected(); len(r) != 1 || r[0].Version != 2 || r[0].InForce != 1 || len(r[0].Problems) != 1 {
		t.Fatalf("rejected: %+v", r)
	}
	accept(t, s, class(t, "swap", 3, 1))
	if c, _ := s.Class("swap"); c.Tier != 1 || len(s.Rejected()) != 0 {
		t.Fatalf("class in force: %+v, rejected %v", c, s.Rejected())
	}
}

// After an outage, a process reads a list from a lagging replica. The list lacks the
// newest class and still contains a deleted one. The newest class must stay in force,
// or its callers would be refused.
func TestListFromLaggingReplica(t *testing.T) {
	s := New()
	accept(t, s, class(t, "swap", 1, 0), class(t, "old", 2, 1), class(t, "new", 9, 1))
	accept(t, s, plat.Event{Deleted: true, Object: plat.Object{Kind: spec.KindClass, Name: "old", Version: 7}})
	s.AcceptList(plat.AnyKind, plat.Batch{Version: 5, Events: []plat.Event{class(t, "swap", 1, 0), class(t, "old", 2, 1)}})
	if _, ok := s.Class("new"); !ok {
		t.Error("the list deleted an object that is newer than it")
	}
	if _, ok := s.Class("old"); ok {
		t.Error("the list restored a deleted object")
	}
	s.AcceptList(plat.AnyKind, plat.Batch{Version: 12, Events: []plat.Event{class(t, "new", 9, 1)}})
	if _, ok := s.Class("swap"); ok {
		t.Error("an object that a newer list lacks is still in force")
	}
}

// A class is deleted, created again and deleted again. One process received the first
// deletion and later a list without the class; a peer with older state still serves
// it. Neither may restore the class at the other.
func TestPeerWithDeletedObject(t *testing.T) {
	deleted := plat.Event{Deleted: true, Object: plat.Object{Kind: spec.KindClass, Name: "swap", Version: 1}}
	newer, older := New(), New()
	newer.AcceptBatch(plat.Batch{Version: 1, Events: []plat.Event{deleted}})
	newer.AcceptList(plat.AnyKind, plat.Batch{Version: 9})
	older.AcceptList(plat.AnyKind, plat.Batch{Version: 5, Events: []plat.Event{class(t, "swap", 5, 0)}})
	newer.AcceptList(plat.AnyKind, plat.Batch{Version: older.CompleteVersion(), Events: older.All()})
	if _, ok := newer.Class("swap"); ok {
		t.Error("a peer with older state restored a deleted class")
	}
	older.AcceptList(plat.AnyKind, plat.Batch{Version: newer.CompleteVersion(), Events: newer.All()})
	if _, ok := older.Class("swap"); ok {
		t.Error("a peer with newer state did not remove the deleted class")
	}
}

// The newest version of a class is bad. One peer started after it was written and has
// no good version; another has the previous one. A process that starts reads from
// both, in either order, and must serve the class.
func TestPeerWithoutGoodVersion(t *testing.T) {
	withGood, withoutGood := New(), New()
	bad := class(t, "swap", 7, 9)
	accept(t, withGood, class(t, "swap", 3, 0))
	_, _ = withGood.Accept(bad)
	withoutGood.AcceptList(plat.AnyKind, plat.Batch{Version: 10, Events: []plat.Event{bad}})
	for _, order := range [][]*Store{{withGood, withoutGood}, {withoutGood, withGood}} {
		s := New()
		for _, peer := range order {
			s.AcceptList(plat.AnyKind, plat.Batch{Version: peer.CompleteVersion(), Events: peer.All()})
		}
		if c, ok := s.Class("swap"); !ok || c.Tier != 0 {
			t.Errorf("class in force: %+v %v", c, ok)
		}
		if len(s.Rejected()) != 1 {
			t.Errorf("rejected: %+v", s.Rejected())
		}
	}
}

// A customer's keys must be valid from the version that adds them until the version
// that removes them.
func TestKeys(t *testing.T) {
	s := New()
	accept(t, s, customer(t, "league", 1, "k1", "k2"))
	if c, k, ok := s.CustomerByKey("k2"); !ok || c.Name != "league" || k.Class != "swap" {
		t.Fatalf("got %v %v %v", c, k, ok)
	}
	if _, _, ok := s.CustomerByKey("k3"); ok {
		t.Fatal("unknown key was accepted")
	}
	accept(t, s, customer(t, "league", 2, "k1"))
	if _, _, ok := s.CustomerByKey("k2"); ok {
		t.Fatal("removed key was accepted")
	}
}

// An operator copies a customer's object for a new customer and forgets to change the
// key. If the key were valid for one of them, that customer could read answers that
// are charged to and kept for the other.
func TestKeyOfTwoCustomers(t *testing.T) {
	s := New()
	accept(t, s, customer(t, "league", 1, "shared", "own"), customer(t, "copy", 2, "shared"))
	if c, _, ok := s.CustomerByKey("shared"); ok {
		t.Fatalf("the key was accepted for %s", c.Name)
	}
	if _, _, ok := s.CustomerByKey("own"); !ok {
		t.Fatal("the customer's other key must still work")
	}
	accept(t, s, customer(t, "copy", 3, "new"))
	if c, _, ok := s.CustomerByKey("shared"); !ok || c.Name != "league" {
		t.Fatal("the key must work again once one customer has it")
	}
}

// Two stores must have the same digest exactly if they have the same objects in force,
// however they got there.
func TestDigest(t *testing.T) {
	a, b := New(), New()
	accept(t, a, class(t, "x", 1, 0), class(t, "y", 2, 0), class(t, "y", 3, 1))
	accept(t, b, class(t, "y", 3, 1))
	if a.Digest() == b.Digest() {
		t.Error("stores with different objects have one digest")
	}
	accept(t, b, class(t, "x", 1, 0))
	if a.Digest() != b.Digest() {
		t.Error("stores with the same objects have two digests")
	}
}

// Objects are created and deleted all day. Their tombstones must not fill the memory
// of a small instance, and no deleted object may reappear.
func TestTombstonesAreBounded(t *testing.T) {
	s := New()
	for i := range int64(maxTombstones + 10) {
		name := fmt.Sprint("c", i)
		s.AcceptBatch(plat.Batch{Version: 2*i + 2, Events: []plat.Event{
			class(t, name, 2*i+1, 0),
			{Deleted: true, Object: plat.Object{Kind: spec.KindClass, Name: name, Version: 2*i + 2}},
		}})
	}
	if n := len(s.All()); n > maxTombstones {
		t.Errorf("%d deletions are remembered", n)
	}
	if changed, _ := s.Accept(class(t, "c0", 1, 0)); changed {
		t.Error("a deleted object reappeared")
	}
}

func BenchmarkCustomerByKey(b *testing.B) {
	s := New()
	for i := range 21000 {
		accept(b, s, customer(b, fmt.Sprint("c", i), int64(i+1), fmt.Sprint("key", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := s.CustomerByKey("key777"); !ok {
			b.Fatal("not found")
		}
	}
}

func BenchmarkAccept(b *testing.B) {
	s := New()
	for i := range 21000 {
		accept(b, s, customer(b, fmt.Sprint("c", i), int64(i+1), fmt.Sprint("key", i)))
	}
	b.ReportAllocs()
	for n := int64(21001); b.Loop(); n++ {
		accept(b, s, customer(b, "c777", n, "key777"))
	}
}

// BenchmarkFirstList measures the first list of 21,000 customers in an empty store.
func BenchmarkFirstList(b *testing.B) {
	batch := plat.Batch{Version: 21000}
	for i := range 21000 {
		batch.Events = append(batch.Events, customer(b, fmt.Sprint("c", i), int64(i+1), fmt.Sprint("key", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		New().AcceptList(spec.KindCustomer, batch)
	}
}

// BenchmarkMemory reports the memory that a store with 1,000 to 21,000 customers uses.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 5000, 21000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s := New()
				before := heapBytes()
				for i := range n {
					ev := customer(b, fmt.Sprint("c", i), int64(i+1), fmt.Sprint("key", i))
					s.AcceptBatch(plat.Batch{Version: ev.Object.Version, Events: []plat.Event{ev}})
				}
				b.ReportMetric(float64(heapBytes()-before), "held-bytes")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
