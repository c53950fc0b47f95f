package operator

import (
	"net/url"
	"strconv"
	"time"

	"dogwoodglade/core/event"
)

func decodeFilter(query url.Values) (event.Filter, error) {
	filter := event.Filter{Task: -1}
	for key, values := range query {
		value := values[0]
		var err error
		switch key {
		case "Customer":
			filter.Customer = value
		case "Key":
			filter.Key = value
		case "Process":
			filter.Process = value
		case "Task":
			if filter.Task, err = strconv.Atoi(value); err != nil || filter.Task < 0 {
				return filter, badRequestError("Task is %q; give the index of a task, from 0", value)
			}
		case "Since":
			filter.Since, err = time.Parse(time.RFC3339Nano, value)
		case "Until":
			filter.Until, err = time.Parse(time.RFC3339Nano, value)
		default:
			return filter, badRequestError("unknown parameter %q; known are Customer, Key, Task, Process, Since and Until", key)
		}
		if err != nil {
			return filter, badRequestError("%s is %q; give a time such as 2006-01-02T15:04:05Z", key, value)
		}
	}
	return filter, nil
}

func encodeFilter(f event.Filter) url.Values {
	query := url.Values{}
	set := func(key, value string) {
		if value != "" {
			query.Set(key, value)
		}
	}
	set("Customer", f.Customer)
	set("Key", f.Key)
	set("Process", f.Process)
	if f.Task >= 0 {
		query.Set("Task", strconv.Itoa(f.Task))
	}
	if !f.Since.IsZero() {
		query.Set("Since", f.Since.Format(time.RFC3339Nano))
	}
	if !f.Until.IsZero() {
		query.Set("Until", f.Until.Format(time.RFC3339Nano))
	}
	return query
}
