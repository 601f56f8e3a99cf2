package yamldoc

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// day is the length of the unit d, which package time does not have.
const day = 24 * time.Hour

var wholeDaysPattern = regexp.MustCompile(`^\d{1,6}d$`)

// parseDuration parses a duration in the form of time.ParseDuration, or a whole
// number of days from 0d to 100000d. A number without a unit is an error, even 0.
func parseDuration(s string) (time.Duration, error) {
	if wholeDaysPattern.MatchString(s) {
		n, err := strconv.Atoi(strings.TrimSuffix(s, "d"))
		if err != nil || n > 100_000 {
			return 0, fmt.Errorf("invalid duration %q", s)
		}
		return time.Duration(n) * day, nil
	}
	if !strings.ContainsAny(s, "hmsuµn") {
		return 0, fmt.Errorf("duration %q has no unit", s)
	}
	return time.ParseDuration(s)
}

// FormatDuration returns a duration in the form that Reader.Duration reads: in days
// if it is a whole number of days, otherwise as time.Duration prints it, without
// trailing zero minutes and seconds.
func FormatDuration(d time.Duration) string {
	if d >= day && d%day == 0 {
		return fmt.Sprintf("%dd", d/day)
	}
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

var coresPattern = regexp.MustCompile(`^\d{1,10}(\.\d{1,3})?$`)

// parseCores parses a number of cores with at most 3 decimals and returns it in
// thousandths of a core. A number above maxCores is an error.
func parseCores(s string) (int64, error) {
	if !coresPattern.MatchString(s) {
		return 0, fmt.Errorf("invalid number of cores %q", s)
	}
	cores, err := strconv.ParseFloat(s, 64)
	if err != nil || cores > maxCores {
		return 0, fmt.Errorf("invalid number of cores %q", s)
	}
	return int64(math.Round(cores * 1000)), nil
}

// FormatCores returns thousandths of a core as a number of cores, such as "1.5".
func FormatCores(milliCPU int64) string {
	return strconv.FormatFloat(float64(milliCPU)/1000, 'f', -1, 64)
}

var memoryPattern = regexp.MustCompile(`^(\d{1,9}) ?(MiB|GiB|TiB)$`)

// parseMemory parses a whole number with the unit MiB, GiB or TiB and returns it in
// mebibytes.
func parseMemory(s string) (int64, error) {
	m := memoryPattern.FindStringSubmatch(s)
	if m == nil {
		return 0, fmt.Errorf("invalid amount of memory %q", s)
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return 0, err
	}
	switch m[2] {
	case "GiB":
		n <<= 10
	case "TiB":
		n <<= 20
	}
	return n, nil
}

// FormatMemory returns an amount in mebibytes with the largest unit of MiB, GiB
// and TiB that needs no fraction, such as "4GiB".
func FormatMemory(mebibytes int64) string {
	switch {
	case mebibytes >= 1<<20 && mebibytes%(1<<20) == 0:
		return fmt.Sprintf("%dTiB", mebibytes>>20)
	case mebibytes >= 1<<10 && mebibytes%(1<<10) == 0:
		return fmt.Sprintf("%dGiB", mebibytes>>10)
	default:
		return fmt.Sprintf("%dMiB", mebibytes)
	}
}
