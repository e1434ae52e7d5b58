package control

import (
	"context"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/membership"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// AutoCell is the value of the cell setting with which a host joins a cell by itself.
const AutoCell = "auto"

// JoinCell returns the cell of a host that has none in its settings. The roster objects of the platform are the record,
// changed by conditional update. While the platform can't be read, the cell of the first seed that answers is taken: the
// bound on its size matters less than a host that serves.
func JoinCell(ctx context.Context, o Options) (string, error) {
	self := wire.Member{Host: o.Host, Zone: o.Zone, ControlAddress: o.Listen, EntryAddress: o.EntryAddress, CallerAddress: o.CallerAddr}
	var b objects.Backoff
	for {
		cell, err := tryJoin(ctx, o.Store, self, o.Region)
		if err == nil && cell != "" {
			return cell, nil
		}
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		if err != nil {
			o.Log.Warn().Err(err).Msg("No cell joined.")
			if cell := seedCell(ctx, o); cell != "" {
				return cell, nil
			}
		}
		b.Wait(ctx, err)
	}
}

// tryJoin makes one attempt. After a conflict or an unknown outcome the next attempt reads what is stored.
func tryJoin(ctx context.Context, s objects.Store, self wire.Member, region string) (string, error) {
	list, _, err := s.List(ctx, objects.KindRoster)
	if err != nil {
		return "", err
	}
	rosters, versions := make(map[string]membership.Roster), make(map[string]string)
	for _, o := range list {
		r, err := objects.Decode[membership.Roster](o)
		if err != nil {
			return "", err
		}
		rosters[o.Name], versions[o.Name] = r, o.Version
	}
	cell, member := membership.Join(rosters, self.Host, region)
	if member {
		return cell, nil
	}
	r := rosters[cell]
	r.Region, r.Members = region, append(r.Members, self)
	if err := put(ctx, s, objects.KindRoster, cell, versions[cell], r); err != nil {
		return "", err
	}
	return cell, nil
}

func seedCell(ctx context.Context, o Options) string {
	for _, addr := range o.Seeds {
		if addr == "" || addr == o.Listen {
			continue
		}
		if cell := transport.QueryCell(ctx, addr, wire.Hello{Host: o.Host, Role: wire.RoleControl, Zone: o.Zone}); cell != "" {
			return cell
		}
	}
	return ""
}

// LearnCell returns the cell that a host's control process has joined. It waits until that process answers.
func LearnCell(ctx context.Context, addr, host, zone string, log telemetry.Logger) (string, error) {
	for ctx.Err() == nil {
		if cell := transport.QueryCell(ctx, addr, wire.Hello{Host: host, Role: wire.RoleEntry, Zone: zone}); cell != "" {
			log.Info().Str("cell", cell).Msg("Cell learned from the control process.")
			return cell, nil
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
	return "", ctx.Err()
}
