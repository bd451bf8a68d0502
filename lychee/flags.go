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

// maxFileArgs is the highest number of files on the command line. A shell may
// expand one pattern to many files.
const maxFileArgs = 64

// options holds the flags and arguments of all commands.
type options struct {
	platform, token, adminToken, outputFormat string
	// entries are admin addresses of entries.
	entries []string
	author  string
	force   bool
	files   [maxFileArgs]string
	// firstArg is a KIND, an INSTANCE or a REQUEST-ID, secondArg the NAME of an
	// object. Each is empty if the command has no such argument.
	firstArg, secondArg string
}

// command is one command of the program.
type command struct {
	sub *flaggy.Subcommand
	// run executes the command and returns the exit code.
	run func(ctx context.Context, t *tool) int
	// isOffline is set for commands that don't call the platform.
	isOffline bool
}

// tool holds the options, the output and the clients of one run of the program.
type tool struct {
	environment
	options
	results  *show.Writer
	platform *plat.Client
	admin    *admin.Client
}

const (
	envPlatform   = "LYCHEE_PLATFORM"
	envToken      = "LYCHEE_PLATFORM_TOKEN"
	envAdminToken = "LYCHEE_ADMIN_TOKEN"
	envAuthor     = "LYCHEE_BY"
	outputText    = "text"
	outputJSON    = "json"
)

const helpFooter = `Environment: LYCHEE_PLATFORM, LYCHEE_PLATFORM_TOKEN, LYCHEE_ADMIN_TOKEN, LYCHEE_BY.
  Exit codes: 0 good, 1 failed, 2 wrong command line or file, 3 differences (diff),
  4 someone else changed an object, 5 a write's outcome is uncertain,
  6 configuration not in force everywhere (status).`

// run parses the command line, runs the command and returns the exit code.
func run(ctx context.Context, env environment) int {
	var o options
	p := flaggy.NewParser("lychee")
	p.Description = "checks, compares, applies and reads lycheepond's configuration, and shows the state of a fleet"
	p.AdditionalHelpAppend = helpFooter
	p.Version = release
	p.DisableShowVersionWithVersion()
	commands := o.addCommands(p)
	if err := p.ParseArgs(env.args); err != nil {
		fmt.Fprintln(env.stderr, "lychee:", err)
		return exitInvalidInput
	}
	o.fillFromEnv(env.lookupEnv)
	if o.outputFormat != outputText && o.outputFormat != outputJSON {
		fmt.Fprintf(env.stderr, "lychee: unknown output %q: use text or json\n", o.outputFormat)
		return exitInvalidInput
	}
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if o.platform == "" && !c.isOffline {
			fmt.Fprintln(env.stderr, "lychee: no platform: give --platform ADDRESS or set LYCHEE_PLATFORM")
			return exitInvalidInput
		}
		return c.run(ctx, newTool(env, o))
	}
	p.ShowHelp()
	return exitInvalidInput
}

// newTool returns the tool for one run of the program.
func newTool(env environment, o options) *tool {
	return &tool{
		environment: env, options: o, results: show.New(env.stdout, o.outputFormat == outputJSON),
		platform: plat.New(plat.Config{BaseURL: o.platform, Token: o.token}),
		admin:    admin.New(o.adminToken, nil),
	}
}

// fillFromEnv sets options that were not given as flags from environment variables,
// and the output format to its default.
func (o *options) fillFromEnv(lookupEnv func(string) (string, bool)) {
	for _, v := range []struct {
		option  *string
		envName string
	}{{&o.platform, envPlatform}, {&o.token, envToken}, {&o.adminToken, envAdminToken}, {&o.author, envAuthor}} {
		if *v.option == "" {
			*v.option, _ = lookupEnv(v.envName)
		}
	}
	if o.outputFormat == "" {
		o.outputFormat = outputText
	}
}

// newCollector returns a collector that uses the clients of t.
func (t *tool) newCollector() *survey.Collector {
	return &survey.Collector{Platform: t.platform, Admin: t.admin, ExtraEntries: t.entries}
}

// addCommands adds every command and its flags to the parser and returns the
// commands.
func (o *options) addCommands(p *flaggy.Parser) []command {
	p.String(&o.outputFormat, "o", "output", "text or json")
	commands := []command{
		o.newFilesCommand("check", "check files of objects and settings without a platform", runCheck),
		o.newFilesCommand("diff", "show what apply would change", runDiff),
		o.newFilesCommand("apply", "write changed objects, each only if nobody else has changed it since it was read", runApply),
		o.newArgsCommand("get", "list the objects of a KIND (class, customer, model, service, ...) or show one", runGet, "KIND", "NAME"),
		o.newArgsCommand("delete", "delete one object", runDelete, "KIND", "NAME"),
		o.newArgsCommand("status", "show configuration, entries, pools and endpoints", runStatus),
		o.newArgsCommand("drain", "take an endpoint's instance out of service: it finishes what runs and stops", runDrain, "INSTANCE"),
		o.newArgsCommand("explain", "show why a request was placed, delayed or refused", runExplain, "REQUEST-ID"),
		o.newLogsCommand("trace", "find out from logs how a request ended and why", runTrace),
		{sub: newSubcommand("version", "print the version"), run: runVersion, isOffline: true},
	}
	commands[0].isOffline = true
	for _, c := range commands {
		o.addFlags(c.sub)
		p.AttachSubcommand(c.sub, 1)
	}
	return commands
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return s
}

// addFlags adds the flags of one command.
func (o *options) addFlags(s *flaggy.Subcommand) {
	switch s.Name {
	case "check", "version", "trace":
		return
	case "apply":
		s.String(&o.author, "b", "by", "author of the change, stored in the object (LYCHEE_BY; default USER@HOST)")
	}
	if s.Name == "delete" {
		s.Bool(&o.force, "f", "force", "delete the object even if other objects refer to it")
	}
	s.String(&o.platform, "p", "platform", "address of the platform, such as http://127.0.0.1:7000 (LYCHEE_PLATFORM)")
	s.String(&o.token, "t", "token", "token of the platform (LYCHEE_PLATFORM_TOKEN)")
	switch s.Name {
	case "status", "explain", "drain":
		s.String(&o.adminToken, "a", "admin-token", "operators' token of entries and agents (LYCHEE_ADMIN_TOKEN)")
		s.StringSlice(&o.entries, "e", "entry", "admin address of an entry, in addition to those of the instance list; may be repeated")
	}
}

// newFilesCommand returns a command whose arguments are files of objects and
// settings.
func (o *options) newFilesCommand(name, description string, run func(context.Context, *tool) int) command {
	s := newSubcommand(name, description)
	for i := range o.files {
		s.AddPositionalValue(&o.files[i], "FILE", i+1, i == 0, "a YAML or JSON file, or a directory of them; more may follow")
		s.PositionalFlags[i].Hidden = i > 0
	}
	return command{sub: s, run: run}
}

// newLogsCommand returns a command whose arguments are a request ID and log
// files.
func (o *options) newLogsCommand(name, description string, run func(context.Context, *tool) int) command {
	s := newSubcommand(name, description)
	s.AddPositionalValue(&o.firstArg, "REQUEST-ID", 1, true, "the request ID, as written in the logs")
	for i := range o.files {
		s.AddPositionalValue(&o.files[i], "LOG", i+2, i == 0, "a log file, - for the standard input; more may follow")
		s.PositionalFlags[i+1].Hidden = i > 0
	}
	return command{sub: s, run: run, isOffline: true}
}

// newArgsCommand returns a command with at most two named arguments. Only
// delete requires the second one.
func (o *options) newArgsCommand(name, description string, run func(context.Context, *tool) int, argNames ...string) command {
	s := newSubcommand(name, description)
	for i, argName := range argNames {
		target := &o.firstArg
		if i > 0 {
			target = &o.secondArg
		}
		s.AddPositionalValue(target, argName, i+1, i == 0 || name == "delete", "")
	}
	return command{sub: s, run: run}
}
