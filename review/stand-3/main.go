// Command stand3 plays the cases of the third review: it starts entry hosts as processes, with
// stand-ins for the platform, the workers and the clients, on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// deployment is a running deployment.
type deployment struct {
	record    *record
	store     *store
	cloud     *cloud
	workers   []*worker
	engines   *engines
	processes []*process
	clients   *clients
	version   int
}

func (d *deployment) process(name string) *process {
	for _, p := range d.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// operatorWrites writes the newest configuration.
func (d *deployment) operatorWrites() { d.store.put("config", "main", configuration(d.version)) }

var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"drill":       drill,
	"reports":     reports,
	"poison-kill": poisonKill,
}

func main() {
	program := flag.String("program", "", "the program of the deploy file")
	name := flag.String("case", "", "the case")
	out := flag.String("record", "record.txt", "the record")
	hosts := flag.Int("hosts", 7, "number of entry hosts")
	flag.Parse()
	code, err := run(*program, *name, *out, *hosts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		code = exitCannotRun
	}
	os.Exit(code)
}

func run(program, name, out string, hosts int) (int, error) {
	play, ok := cases[name]
	if !ok {
		return 0, fmt.Errorf("no case %q", name)
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return 0, err
	}
	r, err := newRecord(out)
	if err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return 0, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	n, err := claimNetwork()
	if err != nil {
		return 0, err
	}
	d := &deployment{record: r, store: newStore(), cloud: newCloud(r), version: 3}
	d.store.onWrite = func(kind string, o object) {
		r.add("store: %s/%s revision %d: %s", kind, o.Name, o.Revision, o.Spec)
	}
	_, storeAddress, err := serve(n.prefix+".201", d.store)
	if err != nil {
		return 0, err
	}
	_, cloudAddress, err := serve(n.prefix+".202", d.cloud)
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	d.operatorWrites()
	for i := range 3 {
		w, err := newWorker(d.store, r, fmt.Sprintf("%s.%d", n.prefix, 101+i), fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "kit-orders")
		if err != nil {
			return 0, err
		}
		d.workers = append(d.workers, w)
		go w.beat(stop)
	}
	d.engines = &engines{store: d.store, record: r, ip: n.prefix + ".121", alive: map[string]*engine{}}
	for range 8 {
		if err := d.engines.start(); err != nil {
			return 0, err
		}
	}
	for i := range hosts {
		p, err := newProcess(n, i+1, program, dir, storeAddress, cloudAddress)
		if err != nil {
			return 0, err
		}
		d.processes = append(d.processes, p)
		if err := p.start(); err != nil {
			return 0, err
		}
		defer p.signal(syscall.SIGKILL)
	}
	d.clients = &clients{record: r, processes: d.processes, keys: []string{"key-a", "key-b"}}
	d.clients.watchReady(stop)
	if !d.clients.awaitReady(15 * time.Second) {
		return 0, fmt.Errorf("not all hosts are ready")
	}
	var sending sync.WaitGroup
	go d.clients.run(15*time.Millisecond, stop, &sending)
	broken, err := play(d, os.Getenv("TROUBLE") != "0")
	close(stop)
	sending.Wait()
	if err != nil {
		return 0, err
	}
	r.tell("%d requests sent, %d answered with 200", d.clients.sent.Load(), d.clients.answered.Load())
	for _, b := range broken {
		r.tell("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken, nil
	}
	r.tell("held")
	return exitHeld, nil
}
