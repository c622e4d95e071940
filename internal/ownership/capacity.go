package ownership

// limitedUse is the part of its lowered capacity that an owner is to be used at. It
// must be asked often enough to show when it can do more.
const limitedUtilization = 0.8

// LimitCapacity lowers owners' capacities to the given ones. Each of these owners gets what
// fills limitedUse of that, or its former share where that is less; the others
// divide the rest as before.
func (l *Load) LimitCapacity(most map[string]float64) {
	share := l.Share
	if share == nil {
		share = l.Capacity
	}
	demand, whole := 0.0, 0.0
	for _, x := range l.ByKey {
		demand += x
	}
	for _, x := range share {
		whole += x
	}
	if demand == 0 || whole == 0 {
		return // nothing is known of the load yet
	}
	out, left, others := make(map[string]float64, len(share)), demand, 0.0
	for id, x := range share {
		m, limited := most[id]
		if !limited || m >= l.Capacity[id] {
			others += x
			continue
		}
		out[id] = min(limitedUtilization*m, demand*x/whole)
		left -= out[id]
	}
	for id, x := range share {
		if _, limited := out[id]; !limited {
			out[id] = left * x / others
		}
	}
	l.Share = out
	lowered := make(map[string]float64, len(l.Capacity))
	for id, x := range l.Capacity {
		lowered[id] = x
		if m, limited := most[id]; limited {
			lowered[id] = min(x, m)
		}
	}
	l.Capacity = lowered
}
