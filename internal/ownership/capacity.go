package ownership

// limitedUtilization is the fraction of its limit up to which a limited owner
// is loaded. The owner must receive enough requests to show when it can serve
// more.
const limitedUtilization = 0.8

// LimitCapacity lowers the capacity of the owners in limits to their limit. Each
// of them gets the load that fills limitedUtilization of its limit, or its
// former share if that is less; the others divide the rest in proportion to
// their former shares. It changes nothing while no load is known.
func (l *Load) LimitCapacity(limits map[string]float64) {
	share := l.Weight
	if share == nil {
		share = l.Capacity
	}
	demand, totalShare := 0.0, 0.0
	for _, x := range l.ByKey {
		demand += x
	}
	for _, x := range share {
		totalShare += x
	}
	if demand == 0 || totalShare == 0 {
		return // no load is known yet
	}
	newShare, remaining, unlimitedShare := make(map[string]float64, len(share)), demand, 0.0
	for id, x := range share {
		limit, limited := limits[id]
		if !limited || limit >= l.Capacity[id] {
			unlimitedShare += x
			continue
		}
		newShare[id] = min(limitedUtilization*limit, demand*x/totalShare)
		remaining -= newShare[id]
	}
	for id, x := range share {
		if _, limited := newShare[id]; !limited {
			newShare[id] = remaining * x / unlimitedShare
		}
	}
	l.Weight = newShare
	newCapacity := make(map[string]float64, len(l.Capacity))
	for id, x := range l.Capacity {
		newCapacity[id] = x
		if limit, limited := limits[id]; limited {
			newCapacity[id] = min(x, limit)
		}
	}
	l.Capacity = newCapacity
}
