package conf

import "lycheepond/core/spec"

func (c *Common) check() spec.Problems { return nil }

func (e *Entry) check() spec.Problems { return e.Common.check() }

func (a *Agent) check() spec.Problems { return a.Common.check() }
