package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a fencing token or a term that is given out twice, for different owners, because
// the records that gave it out first are lost. Planners that know nothing but the log take over,
// move keys, and the log returns from copies of any age, several times in a row, also from before
// its first record.
func TestTokensAndTermsRiseWhateverTheLogLoses(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 200
	p := gopter.NewProperties(params)
	p.Property("tokens and terms are above all that were given out before", prop.ForAll(func(seed uint64) (string, error) {
		rng := rand.New(rand.NewPCG(seed, 9))
		era := rng.Int64N(1 << uint(rng.IntN(50)+1))
		if era%eraStride > eraStride-40 {
			era -= 40 // eras wrap once in a million returns
		}
		var log []*Table
		maxToken, maxTerm, lastTerm := int64(0), int64(0), int64(0)
		for range 60 {
			table := NewTable("s")
			if len(log) > 0 {
				table = log[len(log)-1]
			}
			switch rng.IntN(8) {
			case 0: // the log returns from a copy
				era++
				log = log[:rng.IntN(len(log)+1)]
				lastTerm = 0
				continue
			case 1, 2:
				lastTerm = 0
			}
			if lastTerm == 0 {
				table = table.TakeOver("h", "h:1", era)
				if table.Term <= maxTerm {
					return fmt.Sprintf("era %d: term %d after term %d", era, table.Term, maxTerm), nil
				}
				lastTerm, maxTerm = table.Term, table.Term
			} else {
				table = table.Apply([]Move{{From: 1, To: 5, NewOwner: fmt.Sprint("u", rng.IntN(3))}})
			}
			if table.MaxFencingToken <= maxToken || table.MaxFencingToken >= 1<<53 {
				return fmt.Sprintf("era %d: token %d after token %d", era, table.MaxFencingToken, maxToken), nil
			}
			maxToken = table.MaxFencingToken
			log = append(log, table)
		}
		return "", nil
	}, gen.UInt64()))
	p.TestingRun(t)
}
