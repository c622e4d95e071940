package balance

import "math/rand/v2"

// permutation yields each index below n once: it starts at a random index and adds a
// random step that is coprime to n. Unlike a shuffle it costs no time proportional to n.
type permutation struct{ index, step, n int }

func newPermutation(n int) permutation {
	if n < 2 {
		return permutation{n: n}
	}
	step := 1 + rand.IntN(n-1)
	for !coprime(step, n) {
		step = 1 + rand.IntN(n-1)
	}
	return permutation{rand.IntN(n), step, n}
}

// next returns the next index.
func (p *permutation) next() int {
	current := p.index
	p.index = (p.index + p.step) % p.n
	return current
}

func coprime(a, b int) bool {
	for b != 0 {
		a, b = b, a%b
	}
	return a == 1
}
