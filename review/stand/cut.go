package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// link carries the connections of one machine to the platform. While it is cut, bytes on
// open connections wait and opening packets get no answer.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{}
	// fill are connections that keep the queue of the listener full during a cut.
	fill []net.Conn
}

func newLink(target string) *link {
	// The queue of new connections is short, so that a few fill it.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must(err)
	must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(syscall.Listen(fd, 1))
	file := os.NewFile(uintptr(fd), "link")
	listener, err := net.FileListener(file)
	must(err)
	must(file.Close())
	l := &link{listener: listener, target: target, healed: make(chan struct{})}
	close(l.healed)
	go l.accept()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// wait returns once the link isn't cut.
func (l *link) wait() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *link) accept() {
	for {
		l.wait()
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wait()
		go l.carry(conn)
	}
}

func (l *link) carry(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	upstream, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go func() {
		l.pipe(upstream, conn)
		_ = upstream.Close()
	}()
	l.pipe(conn, upstream)
}

func (l *link) pipe(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.wait()
		if n > 0 {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut cuts the link until heal is called.
func (l *link) cut() {
	l.mu.Lock()
	l.healed = make(chan struct{})
	l.mu.Unlock()
	for {
		conn, err := net.DialTimeout("tcp4", l.address(), 100*time.Millisecond)
		if err != nil {
			return
		}
		l.fill = append(l.fill, conn)
	}
}

func (l *link) heal() {
	for _, conn := range l.fill {
		_ = conn.Close()
	}
	l.fill = nil
	close(l.healed)
}

const (
	drainTime = 2 * time.Second
	// cutTime is how long the machine is partitioned from the store.
	cutTime = 5500 * time.Millisecond
	// leaveAfter is the time from the end of the partition to the removal of the workers that
	// leave, linger how long they serve beyond drainTime.
	leaveAfter = 600 * time.Millisecond
	linger     = 900 * time.Millisecond
	// staying and leavingAtOnce are numbers of workers: one in eight leaves.
	staying       = 14
	leavingAtOnce = 2
)

// leaving is a worker that left without a word.
type leaving struct {
	*worker
	acknowledged time.Time
}

// cutCase partitions the only machine from the store, several times. As each partition
// ends, workers leave without having reported that they drain, and go on serving.
func cutCase(d *deployment, trouble bool) bool {
	d.store.put("config", "main", catalogue(2, []map[string]any{route("order", "/order/", "non_idempotent", 3000, 1)}))
	work := func(*http.Request) time.Duration { return 200 * time.Millisecond }
	for range staying {
		d.addWorker("orders", "z", 64, work)
	}
	m := d.addMachine("z")
	m.start()
	d.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var next atomic.Int64
	var sent, statuses sync.Map
	for range 30 {
		clients.Go(func() {
			c := &client{}
			defer c.close()
			for !done(stop) {
				id := fmt.Sprintf("o%07d", next.Add(1))
				sent.Store(id, time.Now())
				a, _ := c.do(m.front(), "POST", "/order/1", id, 3*time.Second, nil, 0)
				statuses.Store(id, a.status)
				if a.status != 200 {
					d.record.line("order %s: status %d %v", id, a.status, a.err)
					a.wait()
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	broken, lost := 0, 0
	for round := range 6 {
		var left []*leaving
		for range leavingAtOnce {
			left = append(left, &leaving{worker: d.addWorker("orders", "z", 64, work)})
		}
		time.Sleep(4 * time.Second)
		d.record.say("round %d: the machine is partitioned from the store", round+1)
		if trouble {
			m.link.cut()
		}
		time.Sleep(cutTime)
		if trouble {
			m.link.heal()
		}
		healed := time.Now()
		d.record.say("round %d: the partition ends", round+1)
		time.Sleep(leaveAfter)
		for _, l := range left {
			close(l.stop)
			d.store.remove("servers", l.id)
			l.acknowledged = time.Now()
			d.record.say("round %d: the entry of %s is removed", round+1, l.id)
			time.AfterFunc(drainTime+linger, l.exit)
		}
		time.Sleep(5 * time.Second)
		inTouch := healed.Add(contact)
		for _, l := range left {
			l.mu.Lock()
			for id, r := range l.runs {
				at, _ := sent.Load(id)
				late := r.began.Sub(l.acknowledged) - drainTime
				if late <= 0 || !at.(time.Time).After(inTouch) {
					continue
				}
				broken++
				status, _ := statuses.Load(id)
				if status != http.StatusOK {
					lost++
				}
				if broken <= 30 {
					d.record.say("DRAIN: order %s, sent %.2f s after the partition had ended, reached %s %.2f s after its removal was acknowledged; status %v",
						id, at.(time.Time).Sub(healed).Seconds(), l.id, r.began.Sub(l.acknowledged).Seconds(), status)
				}
			}
			l.mu.Unlock()
		}
	}
	close(stop)
	clients.Wait()
	d.record.say("%d requests reached workers later than drain_ms after their removal, from a machine in touch; %d of these orders were lost as the worker ended", broken, lost)
	return broken > 0
}
