package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"strings"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/lychee/apply"
	"lycheepond/lychee/input"
)

// readFiles reads the files named on the command line. If one can't be read, it
// writes the error and returns the exit code. Problems within the files are in
// the content's Findings.
func (t *tool) readFiles() (*input.Content, int) {
	var paths []string
	for _, f := range t.files {
		if f != "" {
			paths = append(paths, f)
		}
	}
	c, err := input.Read(paths, t.lookupEnv)
	if err != nil {
		fmt.Fprintln(t.stderr, "lychee:", err)
		return nil, exitInvalidInput
	}
	return c, exitOK
}

// reportFindings writes the problems that were found in the files and returns
// the exit code.
func (t *tool) reportFindings(c *input.Content) int {
	if len(c.Findings) == 0 {
		return exitOK
	}
	if t.outputFormat == outputJSON {
		t.results.WriteFindings(c.Findings)
		return exitInvalidInput
	}
	for _, f := range c.Findings {
		fmt.Fprintln(t.stderr, f)
	}
	return exitInvalidInput
}

// fail writes an error and returns exitFailed.
func (t *tool) fail(err error) int {
	fmt.Fprintln(t.stderr, "lychee:", err)
	return exitFailed
}

// runCheck checks files without the platform.
func runCheck(_ context.Context, t *tool) int {
	// Secrets are set where the entries and agents run, and usually not in an
	// operator's shell. A variable that is not set here is therefore listed and
	// is no problem.
	var unset []string
	lookupEnv := t.lookupEnv
	t.lookupEnv = func(name string) (string, bool) {
		if v, ok := lookupEnv(name); ok {
			return v, true
		}
		unset = append(unset, name)
		return "${" + name + "}", true
	}
	c, code := t.readFiles()
	if code != exitOK {
		return code
	}
	for _, p := range spec.CheckSet(c.ItemsToCheck()) {
		c.AddFinding(p)
	}
	if code := t.reportFindings(c); code != exitOK {
		return code
	}
	text := fmt.Sprintf("good; objects: %d, settings files: %d", len(c.Items), c.SettingsFiles)
	if len(unset) > 0 {
		text += ", not set here and not checked: " + strings.Join(unset, ", ")
	}
	t.results.WriteMessage(text)
	return exitOK
}

// readObjects reads the files and checks their objects together with the
// objects at the platform that the files don't replace. It reports problems of
// the files' objects only.
func (t *tool) readObjects(ctx context.Context) (*input.Content, int) {
	c, code := t.readFiles()
	if code != exitOK {
		return nil, code
	}
	if c.SettingsFiles > 0 {
		fmt.Fprintln(t.stderr, "lychee: settings files cannot be applied: give them to entry and agent with --config")
		return nil, exitInvalidInput
	}
	items, err := t.platformObjects(ctx, c.Has)
	if err != nil {
		return nil, t.fail(err)
	}
	for _, p := range spec.CheckSet(append(items, c.ItemsToCheck()...)) {
		if c.Has(p.Object) {
			c.AddFinding(p)
		}
	}
	return c, t.reportFindings(c)
}

// platformObjects returns the objects at the platform, except those whose
// reference is excluded.
func (t *tool) platformObjects(ctx context.Context, excluded func(ref string) bool) ([]spec.Item, error) {
	config, err := t.newCollector().FetchConfig(ctx)
	if err != nil {
		return nil, err
	}
	var items []spec.Item
	add := func(kind string, o spec.Object) {
		if item := spec.NewItem(kind, o); !excluded(item.Ref()) {
			items = append(items, item)
		}
	}
	for _, o := range config.Classes() {
		add(spec.KindClass, o)
	}
	for _, o := range config.Models() {
		add(spec.KindModel, o)
	}
	for _, o := range config.Services() {
		add(spec.KindService, o)
	}
	for _, o := range config.Customers() {
		add(spec.KindCustomer, o)
	}
	return items, nil
}

// runDiff shows the differences between the files' objects and the platform's.
func runDiff(ctx context.Context, t *tool) int {
	c, code := t.readObjects(ctx)
	if code != exitOK {
		return code
	}
	var changes []apply.Change
	for _, item := range c.Items {
		change, err := apply.Compare(ctx, t.platform.Get, item)
		if err != nil {
			return t.fail(err)
		}
		changes = append(changes, change)
		if !change.IsUnchanged() {
			code = exitDifferences
		}
	}
	t.results.WriteChanges(changes)
	return code
}

// runApply writes the files' objects that differ from the platform's.
func runApply(ctx context.Context, t *tool) int {
	c, code := t.readObjects(ctx)
	if code != exitOK {
		return code
	}
	applier := &apply.Applier{
		Get: t.platform.Get, Put: t.platform.Put, Author: t.authorName(), NewID: t.newID, Now: t.now, Pause: t.pause,
	}
	results := applier.ApplyAll(ctx, c.Items)
	t.results.WriteResults(results)
	for _, r := range results {
		switch r.State {
		case apply.StateConflict:
			return exitConflict
		case apply.StateUncertain:
			return exitUncertain
		case apply.StateFailed:
			return exitFailed
		}
	}
	return exitOK
}

// authorName returns the author of the change: the one given by flag or
// environment variable, or else USER@HOST.
func (t *tool) authorName() string {
	if t.author != "" {
		return t.author
	}
	name, host := "unknown", "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if h, err := os.Hostname(); err == nil {
		host = h
	}
	return name + "@" + host
}

// runGet shows one object, or lists the objects of a kind.
func runGet(ctx context.Context, t *tool) int {
	if t.secondArg != "" {
		o, err := t.platform.Get(ctx, t.firstArg, t.secondArg)
		if err != nil {
			return t.fail(err)
		}
		t.results.WriteObject(o)
		return exitOK
	}
	list, err := t.platform.List(ctx, t.firstArg)
	if err != nil {
		return t.fail(err)
	}
	objects := make([]plat.Object, len(list.Events))
	for i, ev := range list.Events {
		objects[i] = ev.Object
	}
	t.results.WriteObjects(objects)
	return exitOK
}

// runDelete deletes one object if no other object refers to it, or in any case
// with --force. The deletion fails if the object was changed since it was read.
func runDelete(ctx context.Context, t *tool) int {
	ref := t.firstArg + "/" + t.secondArg
	o, err := t.platform.Get(ctx, t.firstArg, t.secondArg)
	if err != nil {
		return t.fail(err)
	}
	if !t.force {
		remaining, err := t.platformObjects(ctx, func(r string) bool { return r == ref })
		if err != nil {
			return t.fail(err)
		}
		if problems := spec.CheckSet(remaining); len(problems) > 0 {
			fmt.Fprintf(t.stderr, "lychee: other objects refer to %s, change or delete these first:\n%v\n", ref, problems)
			return exitInvalidInput
		}
	}
	err = t.platform.Delete(ctx, t.firstArg, t.secondArg, o.Version)
	var conflictErr *plat.ConflictError
	var uncertainErr *plat.UncertainError
	switch {
	case errors.As(err, &uncertainErr):
		return t.confirmDeletion(ctx, ref, o.Version)
	case errors.As(err, &conflictErr):
		fmt.Fprintln(t.stderr, "lychee:", err)
		return exitConflict
	case err != nil:
		return t.fail(err)
	}
	t.results.WriteMessage(ref + ": deleted")
	return exitOK
}

// confirmDeletion finds out whether a deletion whose reply was lost took effect.
// deletedVersion is the version that was to be deleted.
func (t *tool) confirmDeletion(ctx context.Context, ref string, deletedVersion int64) int {
	current, err := t.platform.Get(ctx, t.firstArg, t.secondArg)
	if errors.Is(err, plat.ErrNotFound) {
		t.results.WriteMessage(ref + ": deleted (the reply was lost)")
		return exitOK
	}
	if err == nil && current.Version != deletedVersion {
		fmt.Fprintf(t.stderr, "lychee: %s was written again by someone else, version %d\n", ref, current.Version)
		return exitConflict
	}
	fmt.Fprintf(t.stderr, "lychee: no reply from the platform: the deletion of %s may have taken effect; run `lychee get` when it answers again\n", ref)
	return exitUncertain
}
