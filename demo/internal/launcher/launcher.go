// Package launcher starts the programs of the demo as child processes, writes their output to log files, and kills them
// at the end of the run. It signals no process that it has not started.
//
// Usage:
//
//	processes := launcher.New(binDir, workDir)
//	defer processes.KillAll()
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

// Process is a child process. It is safe for concurrent use.
type Process struct {
	Name string

	command   *exec.Cmd
	firstLine chan string
	done      chan struct{}

	mu           sync.Mutex
	exitExpected bool
	status       error
}

// Launcher starts processes and keeps track of them. It is not safe for concurrent use.
type Launcher struct {
	binDir    string
	workDir   string
	processes []*Process
}

// New returns a launcher that runs programs from binDir and writes their logs to workDir.
func New(binDir, workDir string) *Launcher {
	return &Launcher{binDir: binDir, workDir: workDir}
}

// Start starts a program. Its output is written to <name>.log in the work folder, so names must be unique.
func (l *Launcher) Start(name, program string, args ...string) (*Process, error) {
	return l.StartWith(nil, name, program, args...)
}

// StartWith starts a program with additional environment variables, in the form NAME=value.
func (l *Launcher) StartWith(environment []string, name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(l.workDir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "launcher: create log")
	}
	command := exec.Command(filepath.Join(l.binDir, program), args...)
	command.Env = append(os.Environ(), environment...)
	command.Stderr = log
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "launcher: open stdout pipe")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "launcher: start %s", name)
	}
	process := &Process{Name: name, command: command, firstLine: make(chan string, 1), done: make(chan struct{})}
	l.processes = append(l.processes, process)
	go process.watch(output, log)
	return process, nil
}

// Exited returns the name and the status of each process that exited without being killed or waited for.
func (l *Launcher) Exited() []string {
	var exited []string
	for _, process := range l.processes {
		if status, ok := process.unexpectedExit(); ok {
			exited = append(exited, fmt.Sprintf("%s: %v", process.Name, status))
		}
	}
	return exited
}

// KillAll kills all processes that are still running and waits until they have exited.
func (l *Launcher) KillAll() {
	for _, process := range l.processes {
		process.Kill()
	}
}

// ID returns the process ID, also after the process has exited.
func (p *Process) ID() int {
	return p.command.Process.Pid
}

// Kill sends SIGKILL and waits until the process has exited. Exited does not report the process afterwards, also if it
// had exited before.
func (p *Process) Kill() {
	p.mu.Lock()
	p.exitExpected = true
	p.mu.Unlock()
	_ = p.command.Process.Kill()
	<-p.done
}

// HasExited reports whether the process has exited. It does not block.
func (p *Process) HasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process. It returns an error if the process has exited.
func (p *Process) Signal(signal os.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "launcher: signal %s", p.Name)
}

// Terminate sends SIGTERM and returns the result of Wait.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits until the process has exited. It returns an error for an exit status other than 0, and when ctx is done
// first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "launcher: wait for %s", p.Name)
	case <-p.done:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Exited must not report a process whose exit the caller has handled.
	p.exitExpected = true
	return errors.Wrapf(p.status, "launcher: exit of %s", p.Name)
}

// Address returns the address from the first line of output, "listening on ADDRESS". It must be called at most once,
// since the line is received from a channel.
func (p *Process) Address(ctx context.Context) (string, error) {
	select {
	case <-ctx.Done():
		return "", errors.Wrapf(ctx.Err(), "launcher: wait for address of %s", p.Name)
	case line := <-p.firstLine:
		address, ok := strings.CutPrefix(line, addressPrefix)
		if !ok {
			return "", errors.Newf("launcher: first line of %s has no address: %q", p.Name, line)
		}
		return address, nil
	}
}

func (p *Process) unexpectedExit() (error, bool) {
	select {
	case <-p.done:
	default:
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status, !p.exitExpected
}

// watch copies the output to the log until the process exits, and then stores the exit status. The output is read to
// its end before Wait, which closes the pipe.
func (p *Process) watch(output io.Reader, log *os.File) {
	lines := bufio.NewReader(output)
	first, _ := lines.ReadString('\n')
	p.firstLine <- strings.TrimSpace(first)
	_, _ = io.WriteString(log, first)
	_, _ = io.Copy(log, lines)
	status := p.command.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.status = status
	p.mu.Unlock()
	close(p.done)
}
