package lab

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The processes of a case get a signal when the thread that has started them ends.
func init() { runtime.LockOSThread() }

// keepVariable names the environment variable with which the temporary folder of a case is kept.
const keepVariable = "REVIEW_KEEP"

// Lab holds the processes and listeners of one case.
type Lab struct {
	*Record
	Store     *Store
	StoreAddr string
	root      string // of the repository
	dir       string // temporary folder
	mutex     sync.Mutex
	hosts     []*Host
	closers   []func()
	ips       int
}

// New returns a Lab whose record is written to record.txt in the folder of the case. root is the root of the repository.
func New(root, folder string) (*Lab, error) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Lab{Record: record, root: root, dir: dir}, nil
}

// Close ends all processes of the case and removes its temporary folder.
func (l *Lab) Close() {
	for _, h := range l.hosts {
		h.Kill()
	}
	for i := len(l.closers) - 1; i >= 0; i-- {
		l.closers[i]()
	}
	if os.Getenv(keepVariable) != "" {
		fmt.Fprintln(os.Stderr, "the settings and logs of the hosts are in", l.dir)
		return
	}
	_ = os.RemoveAll(l.dir)
}

// OnClose registers a function that Close calls.
func (l *Lab) OnClose(f func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closers = append(l.closers, f)
}

// StartStore serves the store and writes the first configuration.
func (l *Lab) StartStore(config map[string]any) error {
	l.Store = NewStore()
	l.Configure(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.StoreAddr = listener.Addr().String()
	server := &http.Server{Handler: l.Store}
	go func() { _ = server.Serve(listener) }()
	l.OnClose(func() { _ = server.Close() })
	return nil
}

// Configure writes a configuration to the store, as the operator does.
func (l *Lab) Configure(config map[string]any) {
	l.Printf("operator: writes configuration version %v", config["version"])
	l.Store.Put("config", "main", config, nil)
}

// Host is one process of the router.
type Host struct {
	Name    string
	IP      string
	Callers string
	Ready   string
	lab     *Lab
	command *exec.Cmd
	exited  chan struct{}
	file    string // settings
}

func freePorts(ip string, count int) ([]int, error) {
	ports := make([]int, count)
	for i := range ports {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// NextIP returns a loopback address that nothing else in the case uses.
func (l *Lab) NextIP() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ips++
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%250, l.ips)
}

// StartHost starts a host with the command of the deploy file.
func (l *Lab) StartHost(name, zone string) (*Host, error) {
	ip := l.NextIP()
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	h := &Host{
		Name: name, IP: ip, Callers: join(ip, ports[0]), Ready: join(ip, ports[1]), lab: l,
		file: filepath.Join(l.dir, name+".yaml"),
	}
	settings := hostSettings{name, zone, ip, h.Callers, h.Ready, l.StoreAddr, ports[2]}
	if err := os.WriteFile(h.file, settings.file(), 0o600); err != nil {
		return nil, err
	}
	l.hosts = append(l.hosts, h)
	return h, h.Start()
}

// Start starts the process of the host, also again after it has ended.
func (h *Host) Start() error {
	logs, err := os.OpenFile(filepath.Join(h.lab.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	h.command = exec.Command(filepath.Join(h.lab.root, "target", "rhubarbtrackd"), "--platform")
	h.command.Dir = h.lab.root
	h.command.Env = []string{"RHUBARBTRACK_BOOT=" + h.file, "PATH=" + os.Getenv("PATH"), "HOME=" + h.lab.dir, "LANG=C"}
	h.command.Stdout, h.command.Stderr = logs, logs
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	command, exited := h.command, h.exited
	go func() {
		_ = command.Wait()
		h.lab.Printf("%s: process ended: %v", h.Name, command.ProcessState)
		close(exited)
	}()
	h.lab.Printf("%s: started, callers at %s", h.Name, h.Callers)
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) {
	h.lab.Printf("%s: gets signal %v", h.Name, signal)
	_ = h.command.Process.Signal(signal)
}

// Exited returns a channel that is closed when the process has ended.
func (h *Host) Exited() <-chan struct{} { return h.exited }

// Alive reports whether the process runs.
func (h *Host) Alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process and waits for its end.
func (h *Host) Kill() {
	if h.command == nil || h.command.Process == nil {
		return
	}
	_ = h.command.Process.Kill()
	<-h.exited
}

// Logs returns what the host has logged.
func (h *Host) Logs() string {
	data, err := os.ReadFile(filepath.Join(h.lab.dir, h.Name+".log"))
	if err != nil {
		return ""
	}
	return string(data)
}

// IsReady sends a readiness check, as the platform does once a second.
func (h *Host) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.Ready + "/rhubarbtrack/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the host is ready.
func (h *Host) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.IsReady() {
			h.lab.Printf("%s: ready", h.Name)
			return nil
		}
	}
	lines := strings.Split(h.Logs(), "\n")
	return fmt.Errorf("%s is not ready after %v; last log lines:\n%s", h.Name, limit, strings.Join(lines[max(0, len(lines)-5):], "\n"))
}
