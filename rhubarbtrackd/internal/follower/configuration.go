package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/authenticator"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/platform/downloader"
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

// lacksVersion reports whether the controller that sends heartbeats has a newer version of the configuration.
func (f *Follower) lacksVersion() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.controllerVersion > f.configVersion()
}

// asksController reports whether the controller is expected to send the announced version, so that the store need not be asked. The
// caller holds the mutex.
func (f *Follower) asksController() bool {
	return f.options.FetchConfiguration != nil && f.relayed && !f.fetchFailed && f.options.Now() < f.lacksSince+controllerHeadStart
}

// followController reads the configuration from the controller while that has a newer version.
func (f *Follower) followController(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !f.lacksVersion() {
			backoff = minBackoff
			select {
			case <-ctx.Done():
			case <-f.announced:
			}
			continue
		}
		fetched := false
		f.options.Panics.Do("fetch-configuration", func() { fetched = f.fetchFromController(ctx) })
		f.mutex.Lock()
		f.fetchFailed = !fetched
		f.mutex.Unlock()
		if !fetched {
			sleep(ctx, backoff)
			backoff = min(maxBackoff, 2*backoff)
		}
	}
}

// fetchFromController reads the configuration from the controller. It returns false if that has sent no newer version.
func (f *Follower) fetchFromController(ctx context.Context) bool {
	sentAt := f.options.Now()
	raw, err := f.options.FetchConfiguration(ctx, f.Configuration())
	transfer := downloader.Transfer{Bytes: len(raw), Taken: f.options.Now() - sentAt}
	f.options.OnConfigurationRead("controller", transfer, err)
	if err != nil {
		f.options.Log.Log(eventlog.ConfigurationFetchFailed, eventlog.Cause(err))
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	former := f.configVersion()
	f.transfer = transfer
	f.recency.replace(translator.ConfigurationKind)
	f.applyConfiguration(f.options.Now(), raw, zap.String("source", "controller"))
	f.publish()
	f.publishConfirmation()
	return f.configVersion() > former
}

// Configuration returns the applied configuration without the keys of client accounts, see translator.WithoutKeys, or nil if none
// was read or its keys are being removed.
func (f *Follower) Configuration() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.rawConfig
}

// unconfirmedAge is the age of a configuration that neither the store nor the controller has confirmed.
const unconfirmedAge = 365 * 24 * time.Hour

// ConfirmedAt returns the time when the applied configuration was last known to be the newest, by a response of the store to this
// host or to the controller, or a time long ago if none has been confirmed. It serves as the age of the other kinds as well, whose
// watches last longer. It does not block. A snapshot that is read afterwards contains the configuration that was confirmed, or a newer one. The order
// matters where the age decides, because the process may stand still between two reads.
func (f *Follower) ConfirmedAt(now time.Duration) time.Duration {
	if at := time.Duration(f.confirmedAt.Load()); at != 0 {
		return at
	}
	return now - unconfirmedAge
}

// publishConfirmation makes the last confirmation of the applied configuration visible to ConfirmedAt, LacksConfiguration and
// IsBehindController, after the snapshot that contains it was published. The caller holds the mutex.
func (f *Follower) publishConfirmation() {
	if f.config != nil {
		f.confirmedAt.Store(int64(f.recency.current[translator.ConfigurationKind]))
	}
	f.superseded.Store(f.announcedVersion > f.configVersion())
	f.behind.Store(f.controllerVersion > f.configVersion())
}

// LacksConfiguration reports whether a newer version of the configuration than the applied one is known to exist. It does not
// block.
func (f *Follower) LacksConfiguration() bool { return f.superseded.Load() }

// IsBehindController reports whether the controller that sends heartbeats now has a newer version of the configuration than the applied
// one. So other hosts can have it. It does not block.
func (f *Follower) IsBehindController() bool { return f.behind.Load() }

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
	decoded := f.options.Now() - now
	if err != nil {
		f.options.Log.Log(eventlog.ObjectRefused, zap.String("name", translator.ConfigurationName), source, eventlog.Cause(err))
		return
	}
	if f.config != nil && config.Version <= f.config.Version {
		return
	}
	age := time.Duration(0)
	if f.config != nil {
		age = now - f.recency.former
	}
	f.options.Log.Log(eventlog.ConfigurationChanged, zap.Int64("version", config.Version), source, zap.Duration("age", age),
		zap.Int("bytes", f.transfer.Bytes), zap.Duration("transfer", f.transfer.Taken), zap.Duration("decoding", decoded))
	if skipped := config.SkippedAccounts; len(skipped) > 0 {
		f.options.Log.Log(eventlog.AccountsSkipped, zap.Int64("version", config.Version), zap.Int("count", len(skipped)),
			zap.String("reason", eventlog.Shorten(skipped[0])))
	}
	f.config, f.rawConfig, f.authenticator = config, raw, authenticator.New(config)
	if config.HasAccounts {
		f.rawConfig = nil
		go f.options.Panics.Do("remove-keys", func() { f.removeKeys(config, raw) })
	}
}

// removeKeys sets rawConfig to raw without keys, which must not stay in memory nor reach other hosts. With 10,000 accounts, it
// takes a small host 1 s, so the configuration is in force before.
func (f *Follower) removeKeys(config *matcher.Config, raw []byte) {
	passed, err := translator.WithoutKeys(raw)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err != nil {
		f.options.Log.Log(eventlog.ObjectRefused, zap.String("name", translator.ConfigurationName), eventlog.Cause(err))
		return
	}
	if f.config == config {
		f.rawConfig = passed
	}
}
