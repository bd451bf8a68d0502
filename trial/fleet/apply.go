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
	var errs []error
	for _, it := range items {
		if it.Object == nil {
			return errors.New("fleet: " + it.Ref() + " has no content")
		}
		errs = append(errs, f.platform.PutObject(ctx, it.Kind, it.Name, it.Object))
	}
	return errors.Join(errs...)
}
