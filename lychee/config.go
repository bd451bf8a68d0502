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

// read reads the files of the command line. Findings are written and make the
// result false.
func (t *tool) read() (*input.Content, int) {
	var paths []string
	for _, f := range t.files {
		if f != "" {
			paths = append(paths, f)
		}
	}
	c, err := input.Read(paths, t.env)
	if err != nil {
		fmt.Fprintln(t.errOut, "lychee:", err)
		return nil, exitInput
	}
	return c, exitGood
}

// findings writes what is wrong.
func (t *tool) findings(c *input.Content) int {
	if len(c.Findings) == 0 {
		return exitGood
	}
	if t.output == outputJSON {
		t.show.Findings(c.Findings)
		return exitInput
	}
	for _, f := range c.Findings {
		fmt.Fprintln(t.errOut, f)
	}
	return exitInput
}

func (t *tool) fail(err error) int {
	fmt.Fprintln(t.errOut, "lychee:", err)
	return exitFailed
}

func check(_ context.Context, t *tool) int {
	// Secrets are set where the processes run, seldom in an operator's shell.
	var unset []string
	env := t.env
	t.env = func(name string) (string, bool) {
		if v, ok := env(name); ok {
			return v, true
		}
		unset = append(unset, name)
		return "${" + name + "}", true
	}
	c, code := t.read()
	if code != exitGood {
		return code
	}
	for _, p := range spec.CheckSet(c.Set()) {
		c.Find(p)
	}
	if code := t.findings(c); code != exitGood {
		return code
	}
	text := fmt.Sprintf("good; objects: %d, settings files: %d", len(c.Items), c.Settings)
	if len(unset) > 0 {
		text += ", not set here and not checked: " + strings.Join(unset, ", ")
	}
	t.show.Message(text)
	return exitGood
}

// objects reads the files and checks them together with the objects at the
// platform that they do not replace.
func (t *tool) objects(ctx context.Context) (*input.Content, int) {
	c, code := t.read()
	if code != exitGood {
		return nil, code
	}
	if c.Settings > 0 {
		fmt.Fprintln(t.errOut, "lychee: settings files cannot be applied: give them to entry and agent with --config")
		return nil, exitInput
	}
	all, err := t.others(ctx, c.Has)
	if err != nil {
		return nil, t.fail(err)
	}
	for _, p := range spec.CheckSet(append(all, c.Set()...)) {
		if c.Has(p.Object) {
			c.Find(p)
		}
	}
	return c, t.findings(c)
}

// others returns the objects at the platform but those that without names.
func (t *tool) others(ctx context.Context, without func(ref string) bool) ([]spec.Item, error) {
	have, err := t.surveyor().Config(ctx)
	if err != nil {
		return nil, err
	}
	var all []spec.Item
	add := func(kind string, o spec.Object) {
		if it := spec.NewItem(kind, o); !without(it.Ref()) {
			all = append(all, it)
		}
	}
	for _, o := range have.Classes() {
		add(spec.KindClass, o)
	}
	for _, o := range have.Models() {
		add(spec.KindModel, o)
	}
	for _, o := range have.Services() {
		add(spec.KindService, o)
	}
	for _, o := range have.Customers() {
		add(spec.KindCustomer, o)
	}
	return all, nil
}

func diff(ctx context.Context, t *tool) int {
	c, code := t.objects(ctx)
	if code != exitGood {
		return code
	}
	var changes []apply.Change
	for _, it := range c.Items {
		change, err := apply.Compare(ctx, t.platform.Get, it)
		if err != nil {
			return t.fail(err)
		}
		changes = append(changes, change)
		if !change.Same() {
			code = exitDiffers
		}
	}
	t.show.Changes(changes)
	return code
}

func applyFiles(ctx context.Context, t *tool) int {
	c, code := t.objects(ctx)
	if code != exitGood {
		return code
	}
	a := &apply.Applier{
		Get: t.platform.Get, Put: t.platform.Put, By: t.author(), NewID: t.newID, Now: t.now, Pause: t.pause,
	}
	results := a.All(ctx, c.Items)
	t.show.Results(results)
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
	return exitGood
}

// author names the operator.
func (t *tool) author() string {
	if t.by != "" {
		return t.by
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

func get(ctx context.Context, t *tool) int {
	if t.second != "" {
		o, err := t.platform.Get(ctx, t.first, t.second)
		if err != nil {
			return t.fail(err)
		}
		t.show.Object(o)
		return exitGood
	}
	b, err := t.platform.List(ctx, t.first)
	if err != nil {
		return t.fail(err)
	}
	objects := make([]plat.Object, len(b.Events))
	for i, ev := range b.Events {
		objects[i] = ev.Object
	}
	t.show.Objects(objects)
	return exitGood
}

func remove(ctx context.Context, t *tool) int {
	ref := t.first + "/" + t.second
	o, err := t.platform.Get(ctx, t.first, t.second)
	if err != nil {
		return t.fail(err)
	}
	if !t.force {
		rest, err := t.others(ctx, func(r string) bool { return r == ref })
		if err != nil {
			return t.fail(err)
		}
		if ps := spec.CheckSet(rest); len(ps) > 0 {
			fmt.Fprintf(t.errOut, "lychee: %s is still named, delete or change these first:\n%v\n", ref, ps)
			return exitInput
		}
	}
	err = t.platform.Delete(ctx, t.first, t.second, o.Version)
	var raced *plat.ConflictError
	var uncertain *plat.UncertainError
	switch {
	case errors.As(err, &uncertain):
		return t.deleted(ctx, ref, o.Version)
	case errors.As(err, &raced):
		fmt.Fprintln(t.errOut, "lychee:", err)
		return exitConflict
	case err != nil:
		return t.fail(err)
	}
	t.show.Message(ref + ": deleted")
	return exitGood
}

// deleted finds out whether a deletion without a reply took effect.
func (t *tool) deleted(ctx context.Context, ref string, version int64) int {
	now, err := t.platform.Get(ctx, t.first, t.second)
	if errors.Is(err, plat.ErrNotFound) {
		t.show.Message(ref + ": deleted (the reply was lost)")
		return exitGood
	}
	if err == nil && now.Version != version {
		fmt.Fprintf(t.errOut, "lychee: %s was written again by someone else, version %d\n", ref, now.Version)
		return exitConflict
	}
	fmt.Fprintf(t.errOut, "lychee: no reply from the platform: the deletion of %s may have taken effect; run `lychee get` when it answers again\n", ref)
	return exitUncertain
}
