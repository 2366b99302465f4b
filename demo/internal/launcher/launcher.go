// Package launcher starts the programs of the demo as processes and ends exactly those.
//
// Usage:
//
//	processes := launcher.New(binaries, work)
//	defer processes.EndAll()
//	platform, err := processes.Start("platform", "platformsim", "--listen", "127.0.0.1:0")
//	address, err := platform.Address(ctx)
package launcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

const addressPrefix = "listening on "

// Process is a process that the demo started.
type Process struct {
	Name string

	command *exec.Cmd
	first   chan string
	done    chan struct{}

	mu     sync.Mutex
	killed bool
	status error
}

// Launcher is not safe for concurrent use.
type Launcher struct {
	binaries  string
	work      string
	processes []*Process
}

// New returns a launcher that finds programs in one folder and writes their output into another one.
func New(binaries, work string) *Launcher {
	return &Launcher{binaries: binaries, work: work}
}

// Start starts a program. Its output goes to <name>.log in the work folder.
func (l *Launcher) Start(name, program string, args ...string) (*Process, error) {
	return l.StartWith(nil, name, program, args...)
}

// StartWith starts a program with further variables in its environment.
func (l *Launcher) StartWith(environment []string, name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(l.work, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "launcher: create log")
	}
	command := exec.Command(filepath.Join(l.binaries, program), args...)
	command.Env = append(os.Environ(), environment...)
	command.Stderr = log
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "launcher: connect output")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "launcher: start %s", name)
	}
	process := &Process{Name: name, command: command, first: make(chan string, 1), done: make(chan struct{})}
	l.processes = append(l.processes, process)
	go process.watch(output, log)
	return process, nil
}

// Exited returns the processes that ended although they were not killed, with their status.
func (l *Launcher) Exited() []string {
	var exited []string
	for _, process := range l.processes {
		if status, ok := process.unexpectedEnd(); ok {
			exited = append(exited, fmt.Sprintf("%s: %v", process.Name, status))
		}
	}
	return exited
}

// KillAll kills every process that is still running and waits for its end.
func (l *Launcher) KillAll() {
	for _, process := range l.processes {
		process.Kill()
	}
}

// ID returns the process id.
func (p *Process) ID() int {
	return p.command.Process.Pid
}

// Kill ends the process without a chance to clean up, and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	_ = p.command.Process.Kill()
	<-p.done
}

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "launcher: signal %s", p.Name)
}

// Terminate asks the process to end and returns its exit status when it has ended.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait returns the exit status when the process has ended.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "launcher: wait for %s", p.Name)
	case <-p.done:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The end of a process that is awaited is expected.
	p.killed = true
	return errors.Wrapf(p.status, "launcher: %s", p.Name)
}

// Address returns the address that the process names in the first line of its output.
func (p *Process) Address(ctx context.Context) (string, error) {
	select {
	case <-ctx.Done():
		return "", errors.Wrapf(ctx.Err(), "launcher: address of %s", p.Name)
	case line := <-p.first:
		address, ok := strings.CutPrefix(line, addressPrefix)
		if !ok {
			return "", errors.Newf("launcher: %s names no address: %q", p.Name, line)
		}
		return address, nil
	}
}

func (p *Process) unexpectedEnd() (error, bool) {
	select {
	case <-p.done:
	default:
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status, !p.killed
}

// watch copies the output until the process ends, and then records its status.
func (p *Process) watch(output io.Reader, log *os.File) {
	lines := bufio.NewReader(output)
	first, _ := lines.ReadString('\n')
	p.first <- strings.TrimSpace(first)
	_, _ = io.WriteString(log, first)
	_, _ = io.Copy(log, lines)
	status := p.command.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.status = status
	p.mu.Unlock()
	close(p.done)
}
