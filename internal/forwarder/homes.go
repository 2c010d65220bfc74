package forwarder

import (
	"slices"

	"geraniumladder/internal/registrar"
)

// homes are the regions in which a request may be served. The zero value allows all.
type homes struct {
	// regions maps failure domains to their regions. A domain that is not in it is in no region.
	regions map[string]string
	// route and organisation are the regions that each of them names; none if empty.
	route, organisation []string
}

// newHomes returns the regions that the route and the organisation name. organisation may be nil.
func newHomes(regions map[string]string, route *registrar.Route, organisation *registrar.Organisation) homes {
	h := homes{regions: regions, route: route.Homes}
	if organisation != nil {
		h.organisation = organisation.Homes
	}
	return h
}

// allow reports whether endpoints in the failure domain may get the request. A domain whose region is unknown may get only
// requests that may be served anywhere.
func (h homes) allow(domain string) bool {
	if len(h.route) == 0 && len(h.organisation) == 0 {
		return true
	}
	region := h.regions[domain]
	return isHome(h.route, region) && isHome(h.organisation, region)
}

func isHome(named []string, region string) bool {
	return len(named) == 0 || region != "" && slices.Contains(named, region)
}
