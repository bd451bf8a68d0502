package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"lycheepond/core/spec"
)

// kindOrder puts classes before the customers that name them.
var kindOrder = []string{spec.KindClass, spec.KindCustomer, spec.KindModel, spec.KindService}

// ReadDir reads and checks every object of the YAML files in dir.
func ReadDir(dir string) ([]spec.Item, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("fleet: no YAML file in %s: run from the root of the repository", dir)
	}
	var items []spec.Item
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		found, problems := spec.Read(data)
		if len(problems) > 0 {
			return nil, fmt.Errorf("fleet: %s: %v", path, problems)
		}
		items = append(items, found...)
	}
	slices.SortStableFunc(items, func(a, b spec.Item) int {
		return slices.Index(kindOrder, a.Kind) - slices.Index(kindOrder, b.Kind)
	})
	return items, nil
}

// Apply writes objects to the platform.
func (f *Fleet) Apply(ctx context.Context, items []spec.Item) error {
	for len(items) > 0 {
		n := 1
		for n < len(items) && items[n].Kind == items[0].Kind {
			n++
		}
		if err := f.applyKind(ctx, items[:n]); err != nil {
			return err
		}
		items = items[n:]
	}
	return nil
}

// writers is how many objects are written at once.
const writers = 16

func (f *Fleet) applyKind(ctx context.Context, items []spec.Item) error {
	next, errs := make(chan spec.Item), make(chan error, writers)
	for range writers {
		go func() {
			var err error
			for it := range next {
				err = errors.Join(err, f.platform.PutObject(ctx, it.Kind, it.Name, it.Object))
			}
			errs <- err
		}()
	}
	for _, it := range items {
		next <- it
	}
	close(next)
	var err error
	for range writers {
		err = errors.Join(err, <-errs)
	}
	return err
}
