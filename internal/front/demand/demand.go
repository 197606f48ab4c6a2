// Package demand forecasts what the programs in progress of an account will still ask for. A
// new program may begin only if the account's limit covers that and the program's own requests.
//
// The forecast consists of sums that are the same at all fronts, and of no state for each
// program. The requests that remain decrease exponentially with the mean age of a program's
// requests, and increase with each program that begins.
package demand

import (
	"math"
	"time"
)

const (
	// usualRequests and usualAge are the number of requests of a program and their mean age
	// before anything was observed, and usualPrograms and usualAges the weights of these
	// values, in programs and in requests.
	usualRequests = 10
	usualAge      = 1500 * time.Millisecond
	usualPrograms = 3
	usualAges     = 3
	// memory is the time constant with which observations are forgotten: several times the
	// few seconds that a program takes, so that the requests of a program and its beginning
	// are counted alike.
	memory = 20 * time.Second
	// minAge and maxAge bound the mean age. A forecast over more than maxAge would outlast
	// the programs; the requests of a shorter time than minAge arrive before reports do.
	minAge = 200 * time.Millisecond
	maxAge = 10 * time.Second
	// stalledAges is the time constant, as a multiple of the mean age, with which remaining
	// requests decrease if none are admitted: programs whose requests wait for longer than
	// their time are abandoned.
	stalledAges = 4
	// maxRequests bounds the mean number of requests of a program, which is overestimated
	// while hardly any program begins.
	maxRequests = 100
)

// Forecast is the forecast for one account. The zero value is ready for use.
type Forecast struct {
	remaining float64 // requests that the programs in progress will still send
	served    float64 // requests that were admitted and are not subtracted from remaining
	requests  float64 // observed requests, over all fronts, less those forgotten
	begun     float64 // observed programs, as requests
	age       float64 // sum of the ages of observed requests, in seconds
	aged      float64 // number of those requests
}

// Advance moves the forecast by d, in which the other fronts admitted requests and programs at
// the given rates per second.
func (f *Forecast) Advance(d time.Duration, requests, begun float64) {
	if *f == (Forecast{}) && requests == 0 && begun == 0 {
		return
	}
	passed, age := d.Seconds(), f.Age().Seconds()
	f.served += passed * requests
	sent := min(f.remaining*-math.Expm1(-passed/age), f.served)
	f.served = min(f.served-sent, f.Requests())
	f.remaining -= max(sent, f.remaining*-math.Expm1(-passed/(age*stalledAges)))
	f.remaining += passed * begun * (f.Requests() - 1)
	keep := 1 - passed/memory.Seconds()
	if passed > memory.Seconds()/10 {
		keep = math.Exp(-passed / memory.Seconds())
	}
	f.requests = f.requests*keep + passed*requests
	f.begun = f.begun*keep + passed*begun
	f.age *= keep
	f.aged *= keep
}

// Admit counts requests that this front admitted; n is negative for a request that is refunded.
func (f *Forecast) Admit(n float64) {
	f.requests = max(f.requests+n, 0)
	f.served = max(f.served+n, 0)
}

// Begin counts a program that this front admitted, and whose first request is counted by Admit.
// Size is its length as a multiple of the mean.
func (f *Forecast) Begin(size float64) {
	f.remaining += max(f.Requests()*size-1, 0)
	f.begun += size
}

// Withdraw undoes Begin for a program that did not begin.
func (f *Forecast) Withdraw(size float64) {
	f.begun = max(f.begun-size, 0)
	f.remaining = max(f.remaining-max(f.Requests()*size-1, 0), 0)
}

// Observe records the age of a program at one of its requests.
func (f *Forecast) Observe(age time.Duration) {
	f.age += min(max(age, 0), maxAge).Seconds()
	f.aged++
}

// Resume estimates the remaining requests from the rate at which requests are admitted over all
// fronts, for a front that has not observed which programs began.
func (f *Forecast) Resume(requests float64) { f.remaining = requests * f.Age().Seconds() }

// Requests returns the mean number of requests of a program.
func (f *Forecast) Requests() float64 {
	mean := (usualPrograms*usualRequests + f.requests) / (usualPrograms + f.begun)
	return min(max(mean, 1), maxRequests)
}

// Age returns the mean age of a program at its requests.
func (f *Forecast) Age() time.Duration {
	mean := (usualAges*usualAge.Seconds() + f.age) / (usualAges + f.aged)
	return min(max(time.Duration(mean*float64(time.Second)), minAge), maxAge)
}

// Remaining returns the number of requests that the programs in progress will still send.
func (f *Forecast) Remaining() float64 { return f.remaining }

// Programs returns the number of programs in progress.
func (f *Forecast) Programs() float64 { return f.remaining / f.Requests() }

// Room returns how many programs may begin now, if so many requests are available now and more
// at the given rate per second; it is a fraction, and negative if too many have begun.
//
// With R remaining requests and the time constant T, the programs send R(1-exp(-t/T)) requests
// by the time t. This is covered at each t if it is at the minimum of level + rate*t -
// R(1-exp(-t/T)): at t=0 for R <= K = rate*T, else at t = T ln(R/K), where the condition is
// R/K - 1 - ln(R/K) <= level/K. The largest R is computed from the first terms of the
// expansion of Lambert's function W-1, which are below its value, and two steps of R/K =
// 1 + level/K + ln(R/K), which approach it from below.
func (f *Forecast) Room(level, rate float64) float64 {
	if level < 0 {
		return -f.remaining / f.Requests()
	}
	k := rate * f.Age().Seconds()
	if k <= 0 {
		return (level - f.remaining) / f.Requests()
	}
	c := level / k
	p := math.Sqrt(2 * c)
	most := 1 + p + p*p/3
	most = 1 + c + math.Log(most)
	most = 1 + c + math.Log(most)
	return (k*most - f.remaining) / f.Requests()
}
