package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// ConfigApply is the time from the acknowledgement of a version until it is in force.
const ConfigApply = 2500 * time.Millisecond

// Heartbeat is the interval of the upstreams' status reports.
const Heartbeat = 870 * time.Millisecond

// Ports of every machine. Each machine has a loopback address of its own.
const (
	portInbound = 8300 + iota
	portApp
	portReady
	_
	portOutbound
	_
	portControl
	portPeer     = 7620
	portOperator = 9464
	portStore    = 8309
)

// Mesh is a small deployment: a store and machines, each with a node and an upstream.
type Mesh struct {
	Rec      *Record
	Store    *Store
	Machines []*Machine
	dir      string
	network  string
	program  string
}

// Machine is one machine with a node process. The upstream beside it is started separately.
type Machine struct {
	mesh    *Mesh
	Name    string
	Zone    string
	IP      string
	Service string // in the settings
	cmd     *exec.Cmd
	log     *os.File
}

// NewMesh starts the store of a mesh of the given program, the binary of the deploy file.
// The settings files and logs are kept in a temporary folder.
func NewMesh(rec *Record, program string) (*Mesh, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	m := &Mesh{Rec: rec, dir: dir, program: program}
	for range 50 {
		m.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if m.Store, err = StartStore(m.network + ".250:" + fmt.Sprint(portStore)); err == nil {
			return m, nil
		}
	}
	return nil, err
}

// Close ends all processes that the mesh started and removes its temporary folder.
func (m *Mesh) Close() {
	for _, x := range m.Machines {
		x.Kill()
	}
	m.Store.Close()
	_ = os.RemoveAll(m.dir)
}

// Add adds a machine in a zone; Start starts its node.
func (m *Mesh) Add(zone, service string) *Machine {
	n := len(m.Machines) + 1
	x := &Machine{mesh: m, Name: fmt.Sprintf("sidecar-%s-%d", zone, n), Zone: zone, IP: fmt.Sprintf("%s.%d", m.network, n), Service: service}
	m.Machines = append(m.Machines, x)
	return x
}

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// App is the address of the machine's upstream.
func (x *Machine) App() string { return at(x.IP, portApp) }

// Outbound is the address for the machine's clients.
func (x *Machine) Outbound() string { return at(x.IP, portOutbound) }

// Control is the address for the status reports of the machine's upstream.
func (x *Machine) Control() string { return at(x.IP, portControl) }

func (x *Machine) settingsPath() string { return filepath.Join(x.mesh.dir, x.Name+".yaml") }

// WriteSettings renders the settings file as the template of the deploy file says.
func (x *Machine) WriteSettings(bootstrap bool) error {
	q := func(s string) string { b, _ := json.Marshal(s); return string(b) }
	var seeds []string
	for _, y := range x.mesh.Machines[:min(3, len(x.mesh.Machines))] {
		seeds = append(seeds, y.Control())
	}
	contacts, _ := json.Marshal(seeds)
	text := strings.Join([]string{
		"host: " + q(x.Name), "domain: " + q(x.Zone), `region: "erie"`,
		"caller: " + q(x.Outbound()), "call: " + q(at(x.IP, portInbound)), "peer: " + q(at(x.IP, portPeer)),
		"operator: " + q(at(x.IP, portOperator)), "announce: " + q(x.Control()), "ready: " + q(at(x.IP, portReady)),
		"store: " + q(x.mesh.Store.Addr), "service: " + q(x.Service), "target: " + q(x.App()),
		"heartbeat: " + q(Heartbeat.String()), `grace: "6s"`, "retries: 60", fmt.Sprint("bootstrap: ", bootstrap),
		"link: 1000.0", "contacts: " + string(contacts), "files: 4100", "",
	}, "\n")
	temporary := x.settingsPath() + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, x.settingsPath())
}

// Start starts the machine's node.
func (x *Machine) Start(bootstrap bool) error {
	if err := x.WriteSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(x.mesh.dir, x.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	x.log = log
	x.cmd = exec.Command(x.mesh.program)
	x.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BRIARROCK_NODE_FILE=" + x.settingsPath()}
	x.cmd.Stdout, x.cmd.Stderr = log, log
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return x.cmd.Start()
}

// Signal sends a signal to the machine's node.
func (x *Machine) Signal(s syscall.Signal) { _ = x.cmd.Process.Signal(s) }

// Kill ends the machine's node at once.
func (x *Machine) Kill() {
	if x.cmd == nil || x.cmd.Process == nil {
		return
	}
	_ = x.cmd.Process.Signal(syscall.SIGKILL)
	_ = x.cmd.Wait()
	_ = x.log.Close()
	x.cmd = nil
}

// Log returns what the machine's node has written so far.
func (x *Machine) Log() string {
	b, _ := os.ReadFile(filepath.Join(x.mesh.dir, x.Name+".log"))
	return string(b)
}

// Ready reports whether the node answers the platform's probe with 200.
func (x *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + at(x.IP, portReady) + "/briarrock/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// StartAll starts all nodes and waits until they are ready, and until the time at which
// the platform lets traffic begin.
func (m *Mesh) StartAll() error {
	const lead = 8 * time.Second
	began := time.Now()
	for _, x := range m.Machines {
		if err := x.Start(true); err != nil {
			return err
		}
	}
	for _, x := range m.Machines {
		for !x.Ready() {
			if time.Since(began) > 20*time.Second {
				return fmt.Errorf("node %s is not ready", x.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(lead - time.Since(began))
	return nil
}

// Route is a route of the operator's configuration.
type Route struct {
	Name, Host, Prefix, Type, Service string
	Timeout, Target                   time.Duration
	Priority                          int
}

// Configure writes a version of the operator's configuration.
func (m *Mesh) Configure(version int, services []string, routes []Route) {
	type object = map[string]any
	c := object{
		"version": fmt.Sprintf("%08x", version),
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
	var rs, ss []object
	ms := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	for _, r := range routes {
		rs = append(rs, object{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "routeType": r.Type, "timeout": ms(r.Timeout), "targetLatency": ms(r.Target),
			"priority": r.Priority, "service": r.Service, "maxAttempts": 2,
		})
	}
	for _, s := range services {
		ss = append(ss, object{"name": s, "healthPath": "/healthz", "maxConnections": 120, "protocol": "h1", "tls": false})
	}
	c["routes"], c["services"] = rs, ss
	b, _ := json.Marshal(c)
	m.Store.Put("op", "config", b)
}
