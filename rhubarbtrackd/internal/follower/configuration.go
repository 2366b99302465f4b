package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/authenticator"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// configVersion returns the version of the applied configuration, or 0. The caller holds the mutex.
func (f *Follower) configVersion() int64 {
	if f.config == nil {
		return 0
	}
	return f.config.Version
}

// lacksAnnounced reports whether the controller that this host follows has a newer version of the configuration.
func (f *Follower) lacksAnnounced() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.options.FetchConfiguration != nil && f.relayed && f.announcedVersion > f.configVersion()
}

// fetchFromController reads the configuration from the controller if that has a newer version.
func (f *Follower) fetchFromController(ctx context.Context) {
	if !f.lacksAnnounced() {
		return
	}
	raw, err := f.options.FetchConfiguration(ctx)
	if err != nil {
		f.options.Log.Log(eventlog.ConfigurationFetchFailed, eventlog.Cause(err))
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.applyConfiguration(f.options.Now(), raw, zap.String("source", "controller"))
	f.publish()
	f.publishConfirmation()
}

// Configuration returns the applied configuration without the keys of client accounts, see translator.WithoutKeys, or nil if none
// was read.
func (f *Follower) Configuration() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.rawConfig
}

// ConfigurationAge returns the time since the applied configuration was last known to be the newest, by a response of the store
// to this host or to the controller. It serves as the age of the other kinds as well, whose watches last longer.
func (f *Follower) ConfigurationAge(now time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now - f.recency.current[translator.ConfigurationKind]
}

// ConfirmedAt returns the time from which ConfigurationAge counts, or false if no configuration has been confirmed. It does not
// block. A snapshot that is read afterwards contains the configuration that was confirmed, or a newer one. This order matters to
// who decides by the age: the process may stand still between two reads.
func (f *Follower) ConfirmedAt() (time.Duration, bool) {
	at := time.Duration(f.confirmedAt.Load())
	return at, at != 0
}

// publishConfirmation makes the last confirmation of the configuration visible to ConfirmedAt and LacksConfiguration, after the
// snapshot that contains it was published. The caller holds the mutex.
func (f *Follower) publishConfirmation() {
	f.confirmedAt.Store(int64(f.recency.current[translator.ConfigurationKind]))
	f.superseded.Store(f.announcedVersion > f.configVersion())
}

// LacksConfiguration reports whether a newer version of the configuration than the applied one is known to exist. It does not
// block.
func (f *Follower) LacksConfiguration() bool { return f.superseded.Load() }

func (f *Follower) replaceConfiguration(now time.Duration, objects []storer.Object) {
	for _, object := range objects {
		f.putConfiguration(now, storer.Event{Object: object})
	}
}

func (f *Follower) putConfiguration(now time.Duration, event storer.Event) {
	if event.Removed || event.Object.Name != translator.ConfigurationName {
		return
	}
	f.applyConfiguration(now, event.Object.Specification, zap.Int64("revision", event.Object.Revision))
}

// applyConfiguration applies a configuration if it is valid and newer than the applied one.
func (f *Follower) applyConfiguration(now time.Duration, raw []byte, source zap.Field) {
	config, err := translator.Configuration(raw)
	if err != nil {
		f.options.Log.Log(eventlog.ObjectRefused, zap.String("name", translator.ConfigurationName), source, eventlog.Cause(err))
		return
	}
	if f.config != nil && config.Version <= f.config.Version {
		return
	}
	// Keys must not stay in memory, nor reach other hosts.
	passed := raw
	if config.HasAccounts {
		if passed, err = translator.WithoutKeys(raw); err != nil {
			f.options.Log.Log(eventlog.ObjectRefused, zap.String("name", translator.ConfigurationName), source, eventlog.Cause(err))
			return
		}
	}
	age := time.Duration(0)
	if f.config != nil {
		age = now - f.recency.since
	}
	f.options.Log.Log(eventlog.ConfigurationChanged, zap.Int64("version", config.Version), source, zap.Duration("age", age))
	f.config, f.rawConfig, f.authenticator = config, passed, authenticator.New(config)
}
