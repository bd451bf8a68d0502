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

// Fleet is a running deployment.
type Fleet struct {
	set      *procs.Set
	plan     Plan
	platform *PlatformClient
	units    []*Unit
	entries  []*Entry
}

// Unit is an endpoint with its agent.
type Unit struct {
	Endpoint
	// Simulator is the process of the simulated endpoint, and Addr the address it
	// listens on.
	Simulator *procs.Proc
	Addr      string
	// Agent is the agent's process. LinkAddr and AdminAddr are the addresses it
	// listens on, which stay the same when it is restarted.
	Agent     *procs.Proc
	LinkAddr  string
	AdminAddr string
	// DialAddr is the address at which entries connect to the agent: LinkAddr, or
	// that of a proxy in front of it.
	DialAddr string
	// configPath is the path of the agent's settings file.
	configPath string
	// startCount is the number of starts of the agent.
	startCount int
}

// Entry is an entry of the deployment.
type Entry struct {
	Name, Zone string
	Proc       *procs.Proc
	// ListenAddr, LinkAddr and AdminAddr are the addresses for callers, links and
	// the admin API. They stay the same when the entry is restarted.
	ListenAddr, LinkAddr, AdminAddr string
	// configPath is the path of the entry's settings file.
	configPath string
	// startCount is the number of starts of the entry.
	startCount int
}

// Start starts the processes of a plan and waits until each is ready. The
// processes belong to set, which the caller must close, also after an error.
func Start(ctx context.Context, set *procs.Set, plan Plan) (*Fleet, error) {
	if err := plan.validate(); err != nil {
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

// Platform returns a client of the simulated platform.
func (f *Fleet) Platform() *PlatformClient { return f.platform }

// Units returns the endpoints in the order of the plan. The caller must not
// change the slice.
func (f *Fleet) Units() []*Unit { return f.units }

// Entries returns the entries in the order in which they were started. The caller
// must not change the slice.
func (f *Fleet) Entries() []*Entry { return f.entries }

// Unit returns the endpoint called name, or nil if there is none.
func (f *Fleet) Unit(name string) *Unit {
	for _, u := range f.units {
		if u.Name == name {
			return u
		}
	}
	return nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	p, err := f.set.Start(f.plan.Name+"-platform", "trial", "platform", "--listen", anyLoopbackPort, "--token", f.plan.Token)
	if err != nil {
		return err
	}
	addr, err := p.Ready(ctx)
	f.platform = &PlatformClient{addr: addr, token: f.plan.Token}
	return err
}

// startUnits starts the simulated endpoints, waits until they are ready and then
// starts the agents, unless the plan has none.
func (f *Fleet) startUnits(ctx context.Context) error {
	for _, ep := range f.plan.Endpoints {
		if ep.SharesWith != "" {
			f.units = append(f.units, &Unit{Endpoint: ep})
			continue
		}
		simulator, err := f.set.Start(ep.Name, "trial", ep.simulatorArgs(anyLoopbackPort, f.platform.addr)...)
		if err != nil {
			return err
		}
		f.units = append(f.units, &Unit{Endpoint: ep, Simulator: simulator})
	}
	for _, u := range f.units {
		if shared := f.Unit(u.SharesWith); shared != nil {
			u.Simulator = shared.Simulator
		}
		if u.Simulator == nil {
			return fmt.Errorf("fleet: endpoint %s shares the process of %s, which is not listed before it: correct the plan", u.Name, u.SharesWith)
		}
		addr, err := u.Simulator.Ready(ctx)
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

// startAgents starts all agents, waits until they are ready and adds them to the
// instance list.
func (f *Fleet) startAgents(ctx context.Context) error {
	for _, u := range f.units {
		if err := f.configureAgent(u); err != nil {
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

// instance returns the endpoint's instance as the instance list shows it.
func (u *Unit) instance(state string) plat.Instance {
	return plat.Instance{
		Name: u.Name, Role: plat.RoleEndpoint, Zone: u.Zone, Labels: u.Labels, LinkAddr: u.DialAddr,
		AdminAddr: u.AdminAddr, State: state,
	}
}

// SetState changes the endpoint's state in the instance list.
func (f *Fleet) SetState(ctx context.Context, u *Unit, state string) error {
	return f.platform.PutInstance(ctx, u.instance(state))
}

// configureAgent chooses the agent's addresses and writes its settings file.
func (f *Fleet) configureAgent(u *Unit) error {
	var err error
	if u.LinkAddr, err = procs.FreeAddr(); err != nil {
		return err
	}
	if u.AdminAddr, err = procs.FreeAddr(); err != nil {
		return err
	}
	u.DialAddr = u.LinkAddr
	if f.plan.LinkProxy != nil {
		if u.DialAddr, err = f.plan.LinkProxy(u.Name, u.LinkAddr); err != nil {
			return err
		}
	}
	settings := agentSettings{
		commonSettings: f.newCommonSettings(u.Name, u.Zone), Link: u.LinkAddr,
		Endpoint:  endpointSettings{Address: "http://" + u.Addr, Kind: u.kind()},
		Admin:     adminSettings{Listen: u.AdminAddr, Token: AdminToken},
		Heartbeat: spec.Duration(f.plan.Heartbeat), IdleHeartbeat: spec.Duration(f.plan.IdleHeartbeat), Grace: spec.Duration(f.plan.Grace),
	}
	settings.Endpoint.ChecksFence = u.Engine != nil && u.Engine.ChecksFence
	u.configPath, err = f.writeSettings("agent-"+u.Name+".yaml", settings)
	return err
}

// newCommonSettings returns the settings that agents and entries share.
func (f *Fleet) newCommonSettings(name, zone string) commonSettings {
	return commonSettings{
		Name: name, Zone: zone, FleetKey: fleetKey,
		Platform: platformSettings{Address: "http://" + f.platform.addr, Token: f.plan.Token},
	}
}

// writeSettings writes a settings file and returns its path.
func (f *Fleet) writeSettings(name string, settings any) (string, error) {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return "", err
	}
	return f.set.WriteFile(name, data)
}

func (f *Fleet) launchAgent(u *Unit) (err error) {
	u.startCount++
	u.Agent, err = f.set.Start(fmt.Sprintf("agent-%s-%d", u.Name, u.startCount), "agent", "--config", u.configPath)
	return err
}

// RestartAgent starts the agent of u again after it has ended, with the same
// addresses, and waits until it is ready.
func (f *Fleet) RestartAgent(ctx context.Context, u *Unit) error {
	if err := f.launchAgent(u); err != nil {
		return err
	}
	_, err := u.Agent.Ready(ctx)
	return err
}

// startEntries starts all entries, waits until they are ready and adds them to
// the instance list. It chooses all addresses first, because the settings of each
// entry contain the addresses of the others.
func (f *Fleet) startEntries(ctx context.Context) error {
	for i := range f.plan.Entries {
		e := &Entry{Name: fmt.Sprintf("%s-entry-%d", f.plan.Name, i+1), Zone: f.plan.Zones[i%len(f.plan.Zones)]}
		for _, addr := range []*string{&e.ListenAddr, &e.LinkAddr, &e.AdminAddr} {
			var err error
			if *addr, err = procs.FreeAddr(); err != nil {
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

// configureEntry writes the entry's settings file.
func (f *Fleet) configureEntry(e *Entry) (err error) {
	settings := entrySettings{
		commonSettings: f.newCommonSettings(e.Name, e.Zone), Listen: e.ListenAddr, Link: e.LinkAddr,
		Admin:     adminSettings{Listen: e.AdminAddr, Token: AdminToken},
		Heartbeat: spec.Duration(f.plan.Heartbeat), IdleHeartbeat: spec.Duration(f.plan.IdleHeartbeat), Grace: spec.Duration(f.plan.Grace),
	}
	for _, other := range f.entries {
		if other != e {
			settings.Peers = append(settings.Peers, other.LinkAddr)
		}
	}
	e.configPath, err = f.writeSettings(e.Name+".yaml", settings)
	return err
}

func (f *Fleet) launchEntry(e *Entry) (err error) {
	e.startCount++
	e.Proc, err = f.set.Start(fmt.Sprintf("%s-%d", e.Name, e.startCount), "entry", "--config", e.configPath)
	return err
}

// RestartEntry starts e again after it has ended, with the same addresses, and
// waits until it is ready.
func (f *Fleet) RestartEntry(ctx context.Context, e *Entry) error {
	if err := f.launchEntry(e); err != nil {
		return err
	}
	return f.awaitEntry(ctx, e)
}

// entryReadyTimeout is the time limit for an entry to start and to pass
// /readyz, the health check for load balancers.
const entryReadyTimeout = 15 * time.Second

// awaitEntry waits until the entry is ready and adds it to the instance list.
func (f *Fleet) awaitEntry(ctx context.Context, e *Entry) error {
	ctx, stop := context.WithTimeout(ctx, entryReadyTimeout)
	defer stop()
	if _, err := e.Proc.Ready(ctx); err != nil {
		return err
	}
	if err := procs.WaitHTTP(ctx, "http://"+e.ListenAddr+"/readyz"); err != nil {
		return errors.Join(err, fmt.Errorf("fleet: %s is not ready: read %s", e.Name, e.Proc.LogPath()))
	}
	return f.platform.PutInstance(ctx, plat.Instance{
		Name: e.Name, Role: plat.RoleEntry, Zone: e.Zone, LinkAddr: e.LinkAddr, AdminAddr: e.AdminAddr, State: plat.StateLive,
	})
}
