package lab

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Place is where a machine of a lab stands.
type Place struct{ Zone, Region string }

// Places are the zones of a small site.
var Places = []Place{
	{"northgate", "north-line"}, {"riverside", "south-line"}, {"millbank", "north-line"}, {"harbour-cross", "south-line"},
}

// Lab is a running deployment.
type Lab struct {
	Record   *Record
	Store    *Store
	Machines []*Machine
	// StoreAddr is the address of the store in the settings of the machines.
	StoreAddr string
	dir       string
	root      string
	network   string
}

// New prepares a lab in a temporary folder, on unused loopback addresses. root is the root
// of the repository.
func New(root string, rec *Record) (*Lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &Lab{Record: rec, dir: dir, root: root}
	for try := range 200 {
		n := (os.Getpid()*7 + try*13) % (100 * 200)
		l.network = fmt.Sprintf("127.%d.%d.", 100+n/200, 10+n%200)
		if l.unused() {
			break
		}
		if try == 199 {
			return nil, errors.New("no unused loopback addresses")
		}
	}
	if l.Store, err = NewStore(l.network + "1:8309"); err != nil {
		return nil, err
	}
	l.StoreAddr = l.Store.Addr
	return l, nil
}

func (l *Lab) unused() bool {
	for _, a := range []string{"1:8309", "2:" + strconv.Itoa(portOutbound), "2:" + strconv.Itoa(portApp)} {
		x, err := net.Listen("tcp", l.network+a)
		if err != nil {
			return false
		}
		_ = x.Close()
	}
	return true
}

// Add adds a machine, which is not started yet.
func (l *Lab) Add(service string) *Machine {
	i := len(l.Machines)
	p := Places[i%len(Places)]
	m := &Machine{
		Name: fmt.Sprintf("sidecar-%s-%d", p.Zone, i/len(Places)+1), Zone: p.Zone, Region: p.Region, Service: service,
		IP: l.network + strconv.Itoa(i+2), StoreAddr: l.StoreAddr, root: l.root, dir: l.dir, Bootstrap: true,
	}
	l.Machines = append(l.Machines, m)
	return m
}

// AwaitReady waits until all machines are ready.
func (l *Lab) AwaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range l.Machines {
			if m.Ready() {
				ready++
			}
		}
		if ready == len(l.Machines) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(l.Machines))
		}
	}
}

// LogFile returns the path of a machine's log.
func (l *Lab) LogFile(m *Machine) string { return filepath.Join(l.dir, m.Name+".log") }

// Close ends all processes and removes the folder, unless REVIEW_KEEP is set.
func (l *Lab) Close() {
	for _, m := range l.Machines {
		m.Kill()
	}
	l.Store.Close()
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept:", l.dir)
		return
	}
	_ = os.RemoveAll(l.dir)
}
