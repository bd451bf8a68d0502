package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gopkg.in/yaml.v3"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/trial/procs"
)

// Fleet is a deployment that runs.
type Fleet struct {
	set      *procs.Set
	plan     Plan
	platform *Platform
	units    []*Unit
	entries  []*Entry
}

// Unit is an endpoint with its agent.
type Unit struct {
	Endpoint
	// Stand is the stand-in's process and Addr where it listens.
	Stand *procs.Proc
	Addr  string
	// Agent is the agent's process, Link and Admin its addresses. They stay
	// when the agent is started again.
	Agent *procs.Proc
	Link  string
	Admin string
	// Dial is where entries reach the agent.
	Dial   string
	config string
	starts int
}

// Entry is one entry.
type Entry struct {
	Name, Zone string
	Proc       *procs.Proc
	// Listen is for callers.
	Listen, Link, Admin string
	config              string
	starts              int
}

// Start starts the processes of a plan and waits until each is ready. The
// caller ends them with set.Close.
func Start(ctx context.Context, set *procs.Set, plan Plan) (*Fleet, error) {
	if err := plan.check(); err != nil {
		return nil, err
	}
	f := &Fleet{set: set, plan: plan}
	if err := f.startPlatform(ctx); err != nil {
		return nil, err
	}
	if err := f.Apply(ctx, plan.Objects); err != nil {
		return nil, err
	}
	if err := f.startUnits(ctx); err != nil {
		return nil, err
	}
	if plan.NoAgents {
		return f, nil
	}
	return f, f.startEntries(ctx)
}

// Platform returns the client of the platform's stand-in.
func (f *Fleet) Platform() *Platform { return f.platform }

// Units returns the endpoints in the plan's order.
func (f *Fleet) Units() []*Unit { return f.units }

// Entries returns the entries.
func (f *Fleet) Entries() []*Entry { return f.entries }

// Unit returns the endpoint called name, nil if there is none.
func (f *Fleet) Unit(name string) *Unit {
	for _, u := range f.units {
		if u.Name == name {
			return u
		}
	}
	return nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	p, err := f.set.Start(f.plan.Name+"-platform", "trial", "platform", "--listen", loopback, "--token", f.plan.Token)
	if err != nil {
		return err
	}
	addr, err := p.Ready(ctx)
	f.platform = &Platform{addr: addr, token: f.plan.Token}
	return err
}

func (f *Fleet) startUnits(ctx context.Context) error {
	for _, ep := range f.plan.Endpoints {
		if ep.Share != "" {
			f.units = append(f.units, &Unit{Endpoint: ep})
			continue
		}
		stand, err := f.set.Start(ep.Name, "trial", ep.args(loopback, f.platform.addr)...)
		if err != nil {
			return err
		}
		f.units = append(f.units, &Unit{Endpoint: ep, Stand: stand})
	}
	for _, u := range f.units {
		if other := f.Unit(u.Share); other != nil {
			u.Stand = other.Stand
		}
		if u.Stand == nil {
			return fmt.Errorf("fleet: endpoint %s shares %s, which does not stand before it: correct the plan", u.Name, u.Share)
		}
		addr, err := u.Stand.Ready(ctx)
		if err != nil {
			return err
		}
		u.Addr = addr
	}
	if f.plan.NoAgents {
		return nil
	}
	return f.startAgents(ctx)
}

func (f *Fleet) startAgents(ctx context.Context) error {
	for _, u := range f.units {
		if err := f.configure(u); err != nil {
			return err
		}
		if err := f.launchAgent(u); err != nil {
			return err
		}
	}
	for _, u := range f.units {
		if _, err := u.Agent.Ready(ctx); err != nil {
			return err
		}
		if err := f.platform.PutInstance(ctx, u.instance(plat.StateLive)); err != nil {
			return err
		}
	}
	return nil
}

func (u *Unit) instance(state string) plat.Instance {
	return plat.Instance{
		Name: u.Name, Role: plat.RoleEndpoint, Zone: u.Zone, Labels: u.Labels, Link: u.Dial,
		Admin: u.Admin, State: state,
	}
}

// SetState changes the endpoint's line in the instance list.
func (f *Fleet) SetState(ctx context.Context, u *Unit, state string) error {
	return f.platform.PutInstance(ctx, u.instance(state))
}

// configure chooses the agent's addresses and writes its settings.
func (f *Fleet) configure(u *Unit) error {
	var err error
	if u.Link, err = procs.Port(); err != nil {
		return err
	}
	if u.Admin, err = procs.Port(); err != nil {
		return err
	}
	u.Dial = u.Link
	if f.plan.Via != nil {
		if u.Dial, err = f.plan.Via(u.Name, u.Link); err != nil {
			return err
		}
	}
	s := agentSettings{
		commonSettings: f.common(u.Name, u.Zone), Link: u.Link,
		Endpoint:  endpointSettings{Address: "http://" + u.Addr, Kind: u.kind()},
		Admin:     adminSettings{Listen: u.Admin, Token: AdminToken},
		Heartbeat: spec.Duration(f.plan.Heartbeat), IdleHeartbeat: spec.Duration(f.plan.IdleHeartbeat), Grace: spec.Duration(f.plan.Grace),
	}
	s.Endpoint.ChecksFence = u.Engine != nil && u.Engine.ChecksFence
	u.config, err = f.write("agent-"+u.Name+".yaml", s)
	return err
}

func (f *Fleet) common(name, zone string) commonSettings {
	return commonSettings{
		Name: name, Zone: zone, FleetKey: fleetKey,
		Platform: platformSettings{Address: "http://" + f.platform.addr, Token: f.plan.Token},
	}
}

func (f *Fleet) write(name string, settings any) (string, error) {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return "", err
	}
	return f.set.WriteFile(name, data)
}

func (f *Fleet) launchAgent(u *Unit) (err error) {
	u.starts++
	u.Agent, err = f.set.Start(fmt.Sprintf("agent-%s-%d", u.Name, u.starts), "agent", "--config", u.config)
	return err
}

// RestartAgent starts an agent that has ended again, at the same addresses.
func (f *Fleet) RestartAgent(ctx context.Context, u *Unit) error {
	if err := f.launchAgent(u); err != nil {
		return err
	}
	_, err := u.Agent.Ready(ctx)
	return err
}

func (f *Fleet) startEntries(ctx context.Context) error {
	for i := range f.plan.Entries {
		e := &Entry{Name: fmt.Sprintf("%s-entry-%d", f.plan.Name, i+1), Zone: f.plan.Zones[i%len(f.plan.Zones)]}
		for _, addr := range []*string{&e.Listen, &e.Link, &e.Admin} {
			var err error
			if *addr, err = procs.Port(); err != nil {
				return err
			}
		}
		f.entries = append(f.entries, e)
	}
	for _, e := range f.entries {
		if err := f.configureEntry(e); err != nil {
			return err
		}
		if err := f.launchEntry(e); err != nil {
			return err
		}
	}
	for _, e := range f.entries {
		if err := f.awaitEntry(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) configureEntry(e *Entry) (err error) {
	s := entrySettings{
		commonSettings: f.common(e.Name, e.Zone), Listen: e.Listen, Link: e.Link,
		Admin:     adminSettings{Listen: e.Admin, Token: AdminToken},
		Heartbeat: spec.Duration(f.plan.Heartbeat), IdleHeartbeat: spec.Duration(f.plan.IdleHeartbeat), Grace: spec.Duration(f.plan.Grace),
	}
	for _, other := range f.entries {
		if other != e {
			s.Peers = append(s.Peers, other.Link)
		}
	}
	e.config, err = f.write(e.Name+".yaml", s)
	return err
}

func (f *Fleet) launchEntry(e *Entry) (err error) {
	e.starts++
	e.Proc, err = f.set.Start(fmt.Sprintf("%s-%d", e.Name, e.starts), "entry", "--config", e.config)
	return err
}

// RestartEntry starts an entry that has ended again, at the same addresses.
func (f *Fleet) RestartEntry(ctx context.Context, e *Entry) error {
	if err := f.launchEntry(e); err != nil {
		return err
	}
	return f.awaitEntry(ctx, e)
}

// readyWait bounds the wait for an entry's balancer check.
const readyWait = 15 * time.Second

func (f *Fleet) awaitEntry(ctx context.Context, e *Entry) error {
	ctx, stop := context.WithTimeout(ctx, readyWait)
	defer stop()
	if _, err := e.Proc.Ready(ctx); err != nil {
		return err
	}
	if err := procs.WaitHTTP(ctx, "http://"+e.Listen+"/readyz"); err != nil {
		return errors.Join(err, fmt.Errorf("fleet: %s is not ready: read %s", e.Name, e.Proc.LogPath()))
	}
	return f.platform.PutInstance(ctx, plat.Instance{
		Name: e.Name, Role: plat.RoleEntry, Zone: e.Zone, Link: e.Link, Admin: e.Admin, State: plat.StateLive,
	})
}
