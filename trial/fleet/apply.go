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

// kindOrder is the order in which objects are written. Classes come before the
// customers that refer to them.
var kindOrder = []string{spec.KindClass, spec.KindCustomer, spec.KindModel, spec.KindService}

// ReadDir reads and validates the objects of all YAML files in dir, and returns
// them in the order in which Apply must write them.
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

// Apply writes objects to the platform. Adjacent objects of the same kind are
// written concurrently; other objects wait for those before them.
func (f *Fleet) Apply(ctx context.Context, items []spec.Item) error {
	for len(items) > 0 {
		n := 1
		for n < len(items) && items[n].Kind == items[0].Kind {
			n++
		}
		if err := f.applyConcurrently(ctx, items[:n]); err != nil {
			return err
		}
		items = items[n:]
	}
	return nil
}

// maxConcurrentWrites is the number of concurrent writes of objects.
const maxConcurrentWrites = 16

// applyConcurrently writes objects concurrently and returns all errors.
func (f *Fleet) applyConcurrently(ctx context.Context, items []spec.Item) error {
	next, errs := make(chan spec.Item), make(chan error, maxConcurrentWrites)
	for range maxConcurrentWrites {
		go func() {
			var err error
			for item := range next {
				err = errors.Join(err, f.platform.PutObject(ctx, item.Kind, item.Name, item.Object))
			}
			errs <- err
		}()
	}
	for _, item := range items {
		next <- item
	}
	close(next)
	var err error
	for range maxConcurrentWrites {
		err = errors.Join(err, <-errs)
	}
	return err
}
