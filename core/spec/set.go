package spec

import (
	"fmt"
	"strconv"
	"strings"
)

// CheckSet returns the problems between objects: an object that appears twice, a
// customer that names a class that does not exist, a key of two customers, and a
// model and a service with the same name, whose pools could not be told apart.
func CheckSet(items []Item) Problems {
	var ps Problems
	classes := make(map[string]bool)
	lines := make(map[string]int)
	for _, it := range items {
		if it.Kind == KindClass {
			classes[it.Name] = true
		}
		if line, ok := lines[it.Ref()]; ok {
			ps = append(ps, Problem{
				Line: it.Line, Object: it.Ref(), Reason: fmt.Sprintf("object appears twice, first in line %d", line),
				Remedy: "remove one",
			})
		}
		lines[it.Ref()] = it.Line
	}
	for _, it := range items {
		if _, ok := lines[KindModel+"/"+it.Name]; ok && it.Kind == KindService {
			ps = append(ps, Problem{
				Line: it.Line, Object: it.Ref(), Field: "name", Reason: "a model has the same name",
				Remedy: "give the service or the model another name",
			})
		}
	}
	holders := make(map[string]string)
	for _, it := range items {
		c, ok := it.Object.(Customer)
		if !ok {
			continue
		}
		found := c.checkClasses(classes)
		found = append(found, c.checkKeys(holders)...)
		for i := range found {
			found[i].Object = it.Ref()
		}
		if it.node != nil {
			found.Locate(it.node)
		}
		ps = append(ps, found...)
	}
	return ps
}

// checkClasses returns a problem for each class that the customer names and that is
// not in classes.
func (c Customer) checkClasses(classes map[string]bool) Problems {
	var ps Problems
	for i, name := range c.Classes {
		if !classes[name] {
			ps.add("classes["+strconv.Itoa(i)+"]", fmt.Sprintf("there is no class %q", name), "add the class or correct its name")
		}
	}
	for i, k := range c.Keys {
		if !classes[k.Class] {
			ps.add("keys["+strconv.Itoa(i)+"].class", fmt.Sprintf("there is no class %q", k.Class), "add the class or correct its name")
		}
	}
	return ps
}

// checkKeys returns a problem for each key that another customer has too, and adds
// the customer's keys to holders, which maps a key's hash to its customer. A key of
// two customers is valid for neither, because it would let one customer read the
// other's answers.
func (c Customer) checkKeys(holders map[string]string) Problems {
	var ps Problems
	for i, k := range c.Keys {
		hash := strings.ToLower(k.SHA256)
		other, ok := holders[hash]
		if ok && other != c.Name {
			ps.add("keys["+strconv.Itoa(i)+"].sha256", fmt.Sprintf("customer %q has the same key", other), "give each customer keys of its own")
		}
		holders[hash] = c.Name
	}
	return ps
}
