package ownership

// limitedUtilization is the fraction of its rate limit up to which a limited
// owner is loaded. The owner must receive enough requests to show when it can
// serve more.
const limitedUtilization = 0.8

// LimitCapacity lowers owners' capacities to their rate limits, in the unit of Capacity,
// where these are below, and sets Weight: each limited owner gets limitedUtilization of
// its rate limit, or its load without the limit if that is less; the others divide the rest
// in proportion to their previous weights. It changes nothing while no load is known.
func (l *Load) LimitCapacity(rateLimits map[string]float64) {
	weight := l.Weight
	if weight == nil {
		weight = l.Capacity
	}
	totalLoad, totalWeight := 0.0, 0.0
	for _, x := range l.ByKey {
		totalLoad += x
	}
	for _, x := range weight {
		totalWeight += x
	}
	if totalLoad == 0 || totalWeight == 0 {
		return // no load is known yet
	}
	newWeight, remaining, unlimitedWeight := make(map[string]float64, len(weight)), totalLoad, 0.0
	for id, x := range weight {
		limit, limited := rateLimits[id]
		if !limited || limit >= l.Capacity[id] {
			unlimitedWeight += x
			continue
		}
		newWeight[id] = min(limitedUtilization*limit, totalLoad*x/totalWeight)
		remaining -= newWeight[id]
	}
	for id, x := range weight {
		if _, limited := newWeight[id]; !limited {
			newWeight[id] = remaining * x / unlimitedWeight
		}
	}
	l.Weight = newWeight
	newCapacity := make(map[string]float64, len(l.Capacity))
	for id, x := range l.Capacity {
		newCapacity[id] = x
		if limit, limited := rateLimits[id]; limited {
			newCapacity[id] = min(x, limit)
		}
	}
	l.Capacity = newCapacity
}
