package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	sharedPart = "5c1e07a2"
	groupPart  = "91bd3f06"
	deadlyPart = "e4402b7d"
	// maxLateDeadly is the number of requests with the deadly part that may reach workers later
	// than contactTime after crash knownAfter (RULES of the news, BUDGET).
	maxLateDeadly = 3
	knownAfter    = 5
	contactTime   = 3 * time.Second
)

var promptNumber atomic.Int64

// askModel sends a request with a prompt to a process. Its parts are shared but for the last one and,
// where it is named, the deadly one.
func (d *deployment) askModel(p *process, deadly bool) {
	number := promptNumber.Add(1)
	id := fmt.Sprintf("%016x", uint64(number)*0xbf58476d1ce4e5b9)
	parts := []string{sharedPart + ":568", groupPart + ":410"}
	tokens := 568 + 410 + 1390
	if deadly {
		parts = append(parts, deadlyPart+":250")
		tokens += 250
	}
	parts = append(parts, fmt.Sprintf("%x:1390", 0x100000000+number))
	request, err := http.NewRequest(http.MethodPost, "http://"+p.front()+"/ask/1", strings.NewReader("prompt "+id))
	if err != nil {
		return
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", fmt.Sprintf("%d,24", tokens))
	request.Header.Set("X-Prefix-Hash", strings.Join(parts, ","))
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("X-Api-Key", "key-a")
	if deadly {
		d.record.tell("client: request %s with part %s to %s", id, deadlyPart, p.name)
	}
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		d.record.add("client: %s at %s: %v", id, p.name, err)
		return
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	whole := err == nil && bytes.Contains(data, fmt.Appendf(nil, "id: %d\n", engineEvents))
	d.record.add("client: %s at %s: %d whole %v %v", id, p.name, response.StatusCode, whole, err)
	if deadly {
		d.record.tell("client: request %s got %d (cause %v)", id, response.StatusCode, err)
	}
}

// askSoundly sends sound prompts until it is stopped.
func (d *deployment) askSoundly(stop <-chan struct{}) {
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			go d.askModel(d.processes[rand.IntN(len(d.processes))], false)
		}
	}
}

// checkDeadly returns how the rule was broken by requests that arrived from a time on at which all
// machines are in touch.
func (d *deployment) checkDeadly(inTouch time.Time) []string {
	fleet := d.engines
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.ended = true
	if len(fleet.crashes) < knownAfter {
		d.record.tell("%d crashes", len(fleet.crashes))
		return nil
	}
	known := fleet.crashes[knownAfter-1].Add(contactTime)
	if inTouch.After(known) {
		known = inTouch
	}
	late := 0
	for _, at := range fleet.arrived {
		if at.After(known) {
			late++
		}
	}
	d.record.tell("%d requests with the part reached workers later than %s after crash %d of %d, from machines in touch",
		late, contactTime, knownAfter, len(fleet.crashes))
	if late > maxLateDeadly {
		return []string{fmt.Sprintf("%d requests with a part that crashes workers reached workers later than contact_ms after the fifth crash", late)}
	}
	return nil
}

// poisonKill sends prompts with the deadly part often enough that they are kept back, and kills all
// processes once.
func poisonKill(d *deployment, trouble bool) ([]string, error) {
	const (
		interval = 4 * time.Second
		killAt   = 22 * time.Second
		observe  = 25 * time.Second
	)
	fleet := d.engines
	fleet.watched, fleet.deadly = deadlyPart, deadlyPart
	stop := make(chan struct{})
	defer close(stop)
	go d.askSoundly(stop)
	go func() {
		time.Sleep(4 * time.Second)
		for i := 0; ; i++ {
			go d.askModel(d.processes[i%len(d.processes)], true)
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
		}
	}()
	time.Sleep(killAt)
	inTouch := time.Time{}
	if trouble {
		d.record.tell("all processes are killed")
		for _, p := range d.processes {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range d.processes {
			p.wait()
		}
		time.Sleep(time.Second)
		for _, p := range d.processes {
			if err := p.start(); err != nil {
				return nil, err
			}
		}
		d.record.tell("all processes are started")
		inTouch = time.Now().Add(contactTime)
	}
	time.Sleep(observe)
	return d.checkDeadly(inTouch), nil
}
