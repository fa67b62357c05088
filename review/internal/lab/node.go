package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	portInbound  = 8300
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portApp      = 8301
	portPeer     = 7620
	portOperator = 9464
)

// Machine is one sidecar machine: a node and the address of its upstream.
type Machine struct {
	Name, Zone, Region, IP string
	Service                string
	Bootstrap              bool
	Seeds                  []string
	StoreAddr              string

	root, dir string
	cmd       *exec.Cmd
	exited    chan struct{}
}

// Outbound is the address for clients, Control the one for status reports, and App that of
// the machine's upstream.
func (m *Machine) Outbound() string { return net.JoinHostPort(m.IP, strconv.Itoa(portOutbound)) }

// Control returns the address for status reports.
func (m *Machine) Control() string { return net.JoinHostPort(m.IP, strconv.Itoa(portControl)) }

// App returns the address of the machine's upstream.
func (m *Machine) App() string { return net.JoinHostPort(m.IP, strconv.Itoa(portApp)) }

// settings returns the fields that the platform puts into the template, with the bounds of a
// small site.
func (m *Machine) settings() map[string]any {
	at := func(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }
	seeds := []any{}
	for _, s := range m.Seeds {
		seeds = append(seeds, s)
	}
	return map[string]any{
		"self": map[string]any{
			"nodeName": m.Name, "role": "node", "machineClass": "sidecar", "serves": []any{"sidecar", "control_plane"},
			"ip": m.IP, "zone": m.Zone, "region": m.Region, "faultCounted": false, "bootstrap": m.Bootstrap,
			"appAddress": m.App(), "service": m.Service,
			"limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		},
		"network": map[string]any{
			"internalPorts": []any{portPeer, portPeer + 15}, "seeds": seeds,
			"listen": map[string]any{"inbound": at(portInbound), "outbound": at(portOutbound), "readyAddress": at(portReady), "controlPlane": at(portControl)},
		},
		"platform": map[string]any{
			"discovery": "static", "entry": "static", "heartbeat": HeartbeatInterval.String(),
			"platform": map[string]any{"address": m.StoreAddr, "form": "table"},
		},
		"terms": map[string]any{"bounds": map[string]any{
			"contact": "3000ms", "drain": "2500ms", "grace": "6s", "configApply": "2500ms", "retryBudgetExtra": 60,
		}},
	}
}

// lookup finds a name in the settings' tables: a dotted path below any of the tables.
func lookup(v map[string]any, name string) (any, bool) {
	for _, table := range []string{"", "self", "network", "platform", "terms"} {
		var cur any = v
		if table != "" {
			cur = v[table]
		}
		found := true
		for _, part := range strings.Split(name, ".") {
			switch x := cur.(type) {
			case map[string]any:
				cur, found = x[part]
			case []any:
				i, err := strconv.Atoi(part)
				found = err == nil && i < len(x)
				if found {
					cur = x[i]
				}
			default:
				found = false
			}
			if !found {
				break
			}
		}
		if found {
			return cur, true
		}
	}
	return nil, false
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/[\w.]+\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template as the platform does.
func render(template string, v map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if x, ok := lookup(v, m[1]); !ok || x == false {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		x, ok := lookup(v, m[1])
		switch {
		case m[2] != "":
			b, _ := json.Marshal(x)
			return string(b)
		case !ok:
			return ""
		default:
			return fmt.Sprint(x)
		}
	})
}

func (m *Machine) file() string { return filepath.Join(m.dir, m.Name+".yaml") }

// WriteSettings renders the settings file. It is replaced as a whole.
func (m *Machine) WriteSettings() error {
	b, err := os.ReadFile(filepath.Join(m.root, "deploy", "node.yaml"))
	if err != nil {
		return err
	}
	tmp := m.file() + ".new"
	if err := os.WriteFile(tmp, []byte(render(string(b), m.settings())), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, m.file())
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// Start starts the node with the command of the deploy file.
func (m *Machine) Start() error {
	if err := m.WriteSettings(); err != nil {
		return err
	}
	b, err := os.ReadFile(filepath.Join(m.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	match := runLine.FindStringSubmatch(string(b))
	if match == nil {
		return fmt.Errorf("deploy/system.toml has no run line")
	}
	words := strings.Fields(match[1])
	cmd := exec.Command(filepath.Join(m.root, words[0]), words[1:]...)
	cmd.Dir = m.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "BRIARROCK_NODE_FILE=" + m.file()}
	log, err := os.OpenFile(filepath.Join(m.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// Signal sends a signal to the node's process.
func (m *Machine) Signal(s syscall.Signal) {
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// Kill kills the node's process and waits for its end.
func (m *Machine) Kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGCONT)
	_ = m.cmd.Process.Kill()
	<-m.exited
}

// Exited returns a channel that is closed when the node's process has ended.
func (m *Machine) Exited() <-chan struct{} { return m.exited }

// Ready asks the node's readiness.
func (m *Machine) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + net.JoinHostPort(m.IP, strconv.Itoa(portReady)) + "/briarrock/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Metric returns the lines of the node's metrics that begin with a name.
func (m *Machine) Metric(name string) string {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + net.JoinHostPort(m.IP, strconv.Itoa(portOperator)) + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	var found []string
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, name) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return strings.Join(found, ", ")
}
