package main

import (
	"context"
	"net"

	"go.uber.org/zap"

	"lycheepond/core/feed"
	"lycheepond/core/logs"
	"lycheepond/core/plat"
	"lycheepond/core/subset"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// pools returns the pools of the configuration in force.
func (n *node) pools() []agents.Pool {
	var out []agents.Pool
	for _, m := range n.store.Models() {
		out = append(out, agents.Pool{Name: m.Name, Selector: m.Endpoints})
	}
	for _, s := range n.store.Services() {
		out = append(out, agents.Pool{Name: s.Name, Selector: s.Endpoints})
	}
	return out
}

// chooseAgents returns the agents of a pool to which this entry links.
func (n *node) chooseAgents(pool []plat.Instance, all plat.Roster) []string {
	self := subset.Node{Name: n.cfg.Name, Zone: n.cfg.Zone}
	entries := []subset.Node{self}
	for _, i := range all.Instances {
		if i.Role == plat.RoleEntry && i.State == plat.StateLive && i.Name != self.Name {
			entries = append(entries, subset.Node{Name: i.Name, Zone: i.Zone})
		}
	}
	nodes := make([]subset.Node, len(pool))
	for i := range pool {
		nodes[i] = subset.Node{Name: pool[i].Name, Zone: pool[i].Zone}
	}
	return subset.Agents(self, entries, nodes, subset.Config{})
}

// entryCount returns how many entries share the pools, including this one.
func (n *node) entryCount() int {
	count, isListed := 0, false
	for _, i := range n.store.Roster().Instances {
		if i.Role == plat.RoleEntry && i.State == plat.StateLive {
			count++
			isListed = isListed || i.Name == n.cfg.Name
		}
	}
	if !isListed {
		count++
	}
	return count
}

// hello returns how this process introduces itself over links.
func (n *node) hello() wire.Hello { return n.self }

// dial opens a connection to another lycheepond process.
func (n *node) dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.certs.Dial(ctx, addr)
}

// peerFetches returns the fetches of objects from other entries, which the feed uses
// while the platform is away.
func (n *node) peerFetches() []feed.Fetch {
	var out []feed.Fetch
	for _, addr := range n.cfg.Peers {
		out = append(out, feed.NewPeerFetch(addr, n.dial, n.hello, n.fleetKeys.Keys))
	}
	return out
}

// logFeedNote logs changes of the configuration and of the feed's state.
func (n *node) logFeedNote(note feed.Note) {
	switch note.Kind {
	case feed.NoteChanged:
		// Confirmations of home tables and assignments don't change the
		// configuration.
		if d := n.store.Digest(); n.loggedDigest.Swap(d) == d {
			return
		}
		logs.Info(n.log, logs.EventConfigChanged, zap.Int("changed", note.Changed), zap.Int64("version", note.Version))
	case feed.NoteRejected:
		logs.Warn(n.log, logs.EventConfigRejected, zap.Error(note.Err))
	case feed.NoteUnavailable:
		logs.Warn(n.log, logs.EventPlatformAway, zap.Error(note.Err))
	case feed.NoteAvailable:
		logs.Info(n.log, logs.EventPlatformBack)
	case feed.NoteFromPeers:
		logs.Info(n.log, logs.EventConfigFromPeers, zap.Int64("version", note.Version))
	case feed.NoteNoPeers:
		logs.Warn(n.log, logs.EventNotReady, zap.Error(note.Err))
	}
}
