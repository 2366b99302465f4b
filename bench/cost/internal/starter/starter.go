// Package starter starts the programs of a measurement as child processes, reads their CPU time and memory from /proc,
// and kills these processes, and no others, at the end.
//
// # Usage
//
//	s := starter.New(".bin", workFolder)
//	defer s.KillAll()
//	p, err := s.Start("platform", "platformsim", "--listen", "127.0.0.1:0")
//	usage, err := p.Usage()
package starter

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ticksPerSecond is the unit of CPU times in /proc (USER_HZ). It is 100 on all common Linux platforms.
const ticksPerSecond = 100

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration // user and system time since the start
	ResidentBytes int64         // current resident set size
}

// Process is a child process.
type Process struct {
	command   *exec.Cmd
	firstLine chan string
}

// Starter starts processes and keeps track of them. It is not safe for concurrent use.
type Starter struct {
	binaries, logFolder string
	processes           []*Process
}

// New returns a starter for the programs in the folder binaries. Standard error of the processes goes to files in the
// folder work.
func New(binaries, work string) *Starter {
	return &Starter{binaries: binaries, logFolder: work}
}

// Start starts a program. Its standard error goes to the file name.log, which is overwritten.
func (s *Starter) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(s.logFolder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(s.binaries, program), args...)
	command.Stderr = log
	// The machines of hosts have few cores. With all cores of a larger machine, most of the idle CPU time is spent on
	// waking threads of the Go runtime.
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: command, firstLine: make(chan string, 1)}
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			select {
			case p.firstLine <- lines.Text():
			default:
			}
		}
	}()
	s.processes = append(s.processes, p)
	return p, nil
}

// KillAll sends SIGKILL to all processes of this starter and waits until they have exited.
func (s *Starter) KillAll() {
	for _, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		_ = p.command.Wait()
	}
}

// Address returns the address that a simulator prints in its first line. It fails if there is no line within 10 s.
func (p *Process) Address() (string, error) {
	select {
	case line := <-p.firstLine:
		return strings.TrimPrefix(line, "listening on "), nil
	case <-time.After(10 * time.Second):
		return "", fmt.Errorf("process %d printed no address within 10 s", p.command.Process.Pid)
	}
}

// Usage reads the resource usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the program name in parentheses, which may contain spaces. The indexes count from the field
	// after it.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, userErr := strconv.ParseInt(fields[11], 10, 64)
	system, systemErr := strconv.ParseInt(fields[12], 10, 64)
	pages, pagesErr := strconv.ParseInt(fields[21], 10, 64)
	if userErr != nil || systemErr != nil || pagesErr != nil {
		return Usage{}, fmt.Errorf("parse /proc/%d/stat: CPU times or resident pages are not numbers", p.command.Process.Pid)
	}
	return Usage{
		CPUTime:       time.Duration(user+system) * time.Second / ticksPerSecond,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}
