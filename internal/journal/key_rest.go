package journal

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"slatemux/internal/traffic"
)

// keyRestIDPrefix marks the record of a traffic.KeyRest. It is written as the answer to a notice that never existed, which older programs ignore.
const keyRestIDPrefix = "\x00rest "

// keyRestRecord returns the record of a rest, whose time is one of the file.
func keyRestRecord(rest traffic.KeyRest) traffic.NoticeAnswered {
	return traffic.NoticeAnswered{ID: keyRestIDPrefix + strconv.FormatInt(rest.Until.UnixMicro(), 10) + " " + rest.Key}
}

// parseKeyRest decodes the id of a record. It returns false if the record is no rest.
func parseKeyRest(id string) (rest traffic.KeyRest, ok bool) {
	text, ok := strings.CutPrefix(id, keyRestIDPrefix)
	if !ok {
		return rest, false
	}
	micros, key, _ := strings.Cut(text, " ")
	until, err := strconv.ParseInt(micros, 10, 64)
	return traffic.KeyRest{Key: key, Until: time.UnixMicro(until)}, err == nil
}

// addRest applies a rest.
func (j *Journal) addRest(rest traffic.KeyRest) {
	if rest.Until.After(j.rests[rest.Key]) {
		j.rests[rest.Key] = rest.Until
	}
}

// appendRests appends the records of the rests that are not over, and forgets the others.
func (j *Journal) appendRests(b []byte) []byte {
	now := time.Now()
	maps.DeleteFunc(j.rests, func(_ string, until time.Time) bool { return !until.After(now) })
	for _, key := range slices.Sorted(maps.Keys(j.rests)) {
		b = appendChange(b, keyRestRecord(traffic.KeyRest{Key: key, Until: j.storedTime(j.rests[key])}))
	}
	return b
}

// Rests returns until when keys rest behind calls of earlier processes.
func (j *Journal) Rests() map[string]time.Time { return maps.Clone(j.rests) }
