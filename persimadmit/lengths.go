package persimadmit

// Lengths learns the average length of the prompts of each route. It is not safe for concurrent
// use.
type Lengths struct {
	routes map[string]average
	// longer are the pairs of routes of which the first was found to have longer prompts.
	longer map[[2]string]bool
}

// average is the moving average of a number of prompt lengths, in tokens.
type average struct {
	count  int
	tokens float64
}

const (
	// minPrompts is the number of prompts from which an average is used. One of several
	// hundred hosts sees a few prompts a second.
	minPrompts = 4
	// maxPrompts is the number of prompts over which lengths are averaged.
	maxPrompts = 256
	// longerFactor is the factor by which an average must exceed the other one to count as
	// longer, until it falls below it: averages that are nearly equal must not turn the order
	// round again and again.
	longerFactor = 1.1
)

// NewLengths returns Lengths that have seen no prompts.
func NewLengths() *Lengths {
	return &Lengths{routes: map[string]average{}, longer: map[[2]string]bool{}}
}

// Observe records the length of a prompt.
func (l *Lengths) Observe(route string, tokens int) {
	a := l.routes[route]
	a.count = min(a.count+1, maxPrompts)
	a.tokens += (float64(tokens) - a.tokens) / float64(a.count)
	l.routes[route] = a
}

// Longer reports whether the prompts of one route are longer on average than those of another.
// It is false before enough prompts of both were seen.
func (l *Lengths) Longer(route, than string) bool {
	a, b := l.routes[route], l.routes[than]
	if a.count < minPrompts || b.count < minPrompts {
		return false
	}
	pair := [2]string{route, than}
	factor := longerFactor
	if l.longer[pair] {
		factor = 1
	}
	l.longer[pair] = a.tokens > b.tokens*factor
	return l.longer[pair]
}
