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

func TestRefusedObject(t *testing.T) {
	// An operator writes a class with a tier that does not exist past the
	// command line's check, straight to the platform. Requests of the class go
	// on under the last good version, and the status names the bad one.
	s := New()
	accept(t, s, class(t, "swap", 1, 0))
	_, err := s.Accept(class(t, "swap", 2, 9))
	var refused *RejectedError
	if !errors.As(err, &refused) {
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

func TestListFromLaggingReplica(t *testing.T) {
	// A process lists again after an outage and gets a replica that lags. The
	// list lacks the newest class and still has one that was deleted. Callers
	// of the newest class must not be told that it does not exist.
	s := New()
	accept(t, s, class(t, "swap", 1, 0), class(t, "old", 2, 1), class(t, "new", 9, 1))
	accept(t, s, plat.Event{Gone: true, Object: plat.Object{Kind: spec.KindClass, Name: "old", Version: 7}})
	s.AcceptList(plat.AnyKind, plat.Batch{Version: 5, Events: []plat.Event{class(t, "swap", 1, 0), class(t, "old", 2, 1)}})
	if _, ok := s.Class("new"); !ok {
		t.Error("the list deleted an object that is newer than it")
	}
	if _, ok := s.Class("old"); ok {
		t.Error("the list brought a deleted object back")
	}
	s.AcceptList(plat.AnyKind, plat.Batch{Version: 12, Events: []plat.Event{class(t, "new", 9, 1)}})
	if _, ok := s.Class("swap"); ok {
		t.Error("an object that a newer list lacks is still in force")
	}
}

func TestPeerWithDeletedObject(t *testing.T) {
	// A class is deleted, made again and deleted again. One process saw the
	// first deletion and then a list without the class; a peer that is behind
	// still serves it. Neither may bring it back to the other.
	deleted := plat.Event{Gone: true, Object: plat.Object{Kind: spec.KindClass, Name: "swap", Version: 1}}
	ahead, behind := New(), New()
	ahead.AcceptBatch(plat.Batch{Version: 1, Events: []plat.Event{deleted}})
	ahead.AcceptList(plat.AnyKind, plat.Batch{Version: 9})
	behind.AcceptList(plat.AnyKind, plat.Batch{Version: 5, Events: []plat.Event{class(t, "swap", 5, 0)}})
	ahead.AcceptList(plat.AnyKind, plat.Batch{Version: behind.Complete(), Events: behind.All()})
	if _, ok := ahead.Class("swap"); ok {
		t.Error("a peer that is behind brought a deleted class back")
	}
	behind.AcceptList(plat.AnyKind, plat.Batch{Version: ahead.Complete(), Events: ahead.All()})
	if _, ok := behind.Class("swap"); ok {
		t.Error("a peer that is ahead did not take the deleted class away")
	}
}

func TestPeerWithoutGoodVersion(t *testing.T) {
	// The newest version of a class is bad. One peer has started after it was
	// written and has no good version; another has the one before. A process
	// that starts asks both, in either order, and must serve the class.
	veteran, late := New(), New()
	bad := class(t, "swap", 7, 9)
	accept(t, veteran, class(t, "swap", 3, 0))
	_, _ = veteran.Accept(bad)
	late.AcceptList(plat.AnyKind, plat.Batch{Version: 10, Events: []plat.Event{bad}})
	for _, order := range [][]*Store{{veteran, late}, {late, veteran}} {
		s := New()
		for _, peer := range order {
			s.AcceptList(plat.AnyKind, plat.Batch{Version: peer.Complete(), Events: peer.All()})
		}
		if c, ok := s.Class("swap"); !ok || c.Tier != 0 {
			t.Errorf("class in force: %+v %v", c, ok)
		}
		if len(s.Rejected()) != 1 {
			t.Errorf("rejected: %+v", s.Rejected())
		}
	}
}

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

func TestKeyOfTwoCustomers(t *testing.T) {
	// An operator copies a customer's object for a new one and forgets to
	// change the key. If the key stood for either of them, one could read
	// answers that are charged and kept for the other.
	s := New()
	accept(t, s, customer(t, "league", 1, "shared", "own"), customer(t, "copy", 2, "shared"))
	if c, _, ok := s.CustomerByKey("shared"); ok {
		t.Fatalf("the key opened %s", c.Name)
	}
	if _, _, ok := s.CustomerByKey("own"); !ok {
		t.Fatal("the customer's other key must still work")
	}
	accept(t, s, customer(t, "copy", 3, "new"))
	if c, _, ok := s.CustomerByKey("shared"); !ok || c.Name != "league" {
		t.Fatal("the key must work again once one customer has it")
	}
}

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

func TestDeletionsAreBounded(t *testing.T) {
	// Objects are made and deleted all day. The memory of a small instance
	// must not fill with their tombstones, and none of them may come back.
	s := New()
	for i := range int64(maxTombs + 10) {
		name := fmt.Sprint("c", i)
		s.AcceptBatch(plat.Batch{Version: 2*i + 2, Events: []plat.Event{
			class(t, name, 2*i+1, 0),
			{Gone: true, Object: plat.Object{Kind: spec.KindClass, Name: name, Version: 2*i + 2}},
		}})
	}
	if n := len(s.All()); n > maxTombs {
		t.Errorf("%d deletions are remembered", n)
	}
	if changed, _ := s.Accept(class(t, "c0", 1, 0)); changed {
		t.Error("a deleted object came back")
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

func BenchmarkStart(b *testing.B) {
	batch := plat.Batch{Version: 21000}
	for i := range 21000 {
		batch.Events = append(batch.Events, customer(b, fmt.Sprint("c", i), int64(i+1), fmt.Sprint("key", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		New().AcceptList(spec.KindCustomer, batch)
	}
}

// BenchmarkHeld reports the memory that a store of 1,000 to 21,000 customers
// holds.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{1000, 5000, 21000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s := New()
				before := heap()
				for i := range n {
					ev := customer(b, fmt.Sprint("c", i), int64(i+1), fmt.Sprint("key", i))
					s.AcceptBatch(plat.Batch{Version: ev.Object.Version, Events: []plat.Event{ev}})
				}
				b.ReportMetric(float64(heap()-before), "held-bytes")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
