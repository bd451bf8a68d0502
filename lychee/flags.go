package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"lycheepond/core/plat"
	"lycheepond/lychee/admin"
	"lycheepond/lychee/show"
	"lycheepond/lychee/survey"
)

// maxFiles is how many files may stand on the command line, as a shell expands
// a pattern to them.
const maxFiles = 64

// options are the flags and arguments of all commands.
type options struct {
	platform, token, adminToken, output string
	entries                             []string
	by                                  string
	force                               bool
	files                               [maxFiles]string
	first, second                       string
}

// command is one command of the program.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, t *tool) int
	// offline is set for commands that ask no platform.
	offline bool
}

// tool is what a command works with.
type tool struct {
	world
	options
	show     *show.Writer
	platform *plat.Client
	admin    *admin.Client
}

const (
	envPlatform   = "LYCHEE_PLATFORM"
	envToken      = "LYCHEE_PLATFORM_TOKEN"
	envAdminToken = "LYCHEE_ADMIN_TOKEN"
	envBy         = "LYCHEE_BY"
	outputText    = "text"
	outputJSON    = "json"
)

const exitHelp = `Environment: LYCHEE_PLATFORM, LYCHEE_PLATFORM_TOKEN, LYCHEE_ADMIN_TOKEN, LYCHEE_BY.
  Exit codes: 0 good, 1 failed, 2 wrong command line or file, 3 differences (diff),
  4 someone else changed an object, 5 a write's outcome is uncertain,
  6 configuration not in force everywhere (status).`

func run(ctx context.Context, w world) int {
	var o options
	p := flaggy.NewParser("lychee")
	p.Description = "checks, compares, applies and reads lycheepond's configuration, and shows how a fleet is"
	p.AdditionalHelpAppend = exitHelp
	p.Version = release
	p.DisableShowVersionWithVersion()
	commands := o.attach(p)
	if err := p.ParseArgs(w.args); err != nil {
		fmt.Fprintln(w.errOut, "lychee:", err)
		return exitInput
	}
	o.environment(w.env)
	if o.output != outputText && o.output != outputJSON {
		fmt.Fprintf(w.errOut, "lychee: unknown output %q: use text or json\n", o.output)
		return exitInput
	}
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if o.platform == "" && !c.offline {
			fmt.Fprintln(w.errOut, "lychee: no platform: give --platform ADDRESS or set LYCHEE_PLATFORM")
			return exitInput
		}
		return c.run(ctx, newTool(w, o))
	}
	p.ShowHelp()
	return exitInput
}

func newTool(w world, o options) *tool {
	return &tool{
		world: w, options: o, show: show.New(w.out, o.output == outputJSON),
		platform: plat.New(plat.Config{BaseURL: o.platform, Token: o.token}),
		admin:    admin.New(o.adminToken, nil),
	}
}

// environment fills what the flags left open.
func (o *options) environment(env func(string) (string, bool)) {
	for _, v := range []struct {
		into *string
		name string
	}{{&o.platform, envPlatform}, {&o.token, envToken}, {&o.adminToken, envAdminToken}, {&o.by, envBy}} {
		if *v.into == "" {
			*v.into, _ = env(v.name)
		}
	}
	if o.output == "" {
		o.output = outputText
	}
}

func (t *tool) surveyor() *survey.Surveyor {
	return &survey.Surveyor{Platform: t.platform, Admin: t.admin, Entries: t.entries}
}

// attach declares every command.
func (o *options) attach(p *flaggy.Parser) []command {
	p.String(&o.output, "o", "output", "text or json")
	commands := []command{
		o.filesCommand("check", "check files of objects and settings without a platform", check),
		o.filesCommand("diff", "show what apply would change", diff),
		o.filesCommand("apply", "write changed objects, each only if nobody else changed it meanwhile", applyFiles),
		o.argsCommand("get", "list the objects of a KIND (class, customer, model, service, ...) or show one", get, "KIND", "NAME"),
		o.argsCommand("delete", "delete one object", remove, "KIND", "NAME"),
		o.argsCommand("status", "show configuration, entries, pools and endpoints", status),
		o.argsCommand("drain", "take an endpoint's instance out of service: it finishes what runs and stops", drain, "INSTANCE"),
		o.argsCommand("explain", "tell why a request was placed, delayed or refused", explain, "REQUEST-ID"),
		o.logsCommand("trace", "tell from logs what became of a request and why", traceLogs),
		{sub: subcommand("version", "print the version"), run: version, offline: true},
	}
	commands[0].offline = true
	for _, c := range commands {
		o.flags(c.sub)
		p.AttachSubcommand(c.sub, 1)
	}
	return commands
}

func subcommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return s
}

// flags declares the flags of one command.
func (o *options) flags(s *flaggy.Subcommand) {
	switch s.Name {
	case "check", "version", "trace":
		return
	case "apply":
		s.String(&o.by, "b", "by", "who makes the change, kept in the object (LYCHEE_BY; default USER@HOST)")
	}
	if s.Name == "delete" {
		s.Bool(&o.force, "f", "force", "delete it although other objects name it")
	}
	s.String(&o.platform, "p", "platform", "address of the platform, such as http://127.0.0.1:7000 (LYCHEE_PLATFORM)")
	s.String(&o.token, "t", "token", "token of the platform (LYCHEE_PLATFORM_TOKEN)")
	switch s.Name {
	case "status", "explain", "drain":
		s.String(&o.adminToken, "a", "admin-token", "operators' token of entries and agents (LYCHEE_ADMIN_TOKEN)")
		s.StringSlice(&o.entries, "e", "entry", "admin address of an entry, besides those of the instance list; may be repeated")
	}
}

func (o *options) filesCommand(name, description string, run func(context.Context, *tool) int) command {
	s := subcommand(name, description)
	for i := range o.files {
		s.AddPositionalValue(&o.files[i], "FILE", i+1, i == 0, "a YAML or JSON file, or a directory of them; more may follow")
		s.PositionalFlags[i].Hidden = i > 0
	}
	return command{sub: s, run: run}
}

// logsCommand is a command with a request's ID and files of logs.
func (o *options) logsCommand(name, description string, run func(context.Context, *tool) int) command {
	s := subcommand(name, description)
	s.AddPositionalValue(&o.first, "REQUEST-ID", 1, true, "as the logs spell it")
	for i := range o.files {
		s.AddPositionalValue(&o.files[i], "LOG", i+2, i == 0, "a file of log lines, - for the standard input; more may follow")
		s.PositionalFlags[i+1].Hidden = i > 0
	}
	return command{sub: s, run: run, offline: true}
}

func (o *options) argsCommand(name, description string, run func(context.Context, *tool) int, args ...string) command {
	s := subcommand(name, description)
	for i, a := range args {
		into := &o.first
		if i > 0 {
			into = &o.second
		}
		s.AddPositionalValue(into, a, i+1, i == 0 || name == "delete", "")
	}
	return command{sub: s, run: run}
}
