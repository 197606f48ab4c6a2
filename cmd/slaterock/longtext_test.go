package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
)

// The simulated upstreams answer with a few hundred bytes; this limit makes them long texts.
const inlineLimit = "\n[limits]\ninline_text_bytes = 64\n"

// Two of three daemons have a data folder. The daemon that owns a program and holds one copy of
// its long texts is lost with its disk. The program's history must still contain prompt and
// answer, and a caller that repeats its call must get the complete answer again.
func TestLongTextsSurviveHolderLoss(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, inlineLimit, t.TempDir(), t.TempDir())
	program := ""
	for i := 0; program == ""; i++ {
		if id := fmt.Sprint("long-", i); s.owner(id) == 0 {
			program = id
		}
	}
	const entry = 2 // has no data folder
	is.NoErr(s.client(entry).Open(s.ctx, call.Open{Program: program}))
	question := strings.Repeat("All about the route, please. ", 400)
	var messages []client.Message
	var answer client.Answer
	var h hist.History
	number := -1
	s.waitUntil("long texts go to the folders", func() bool {
		number++ // texts go into the journal until the owner knows both data folders
		messages = []client.Message{{Role: "user", Content: fmt.Sprint(number, question)}}
		var err error
		answer, err = s.client(entry).Chat(s.ctx, program, number, 256, messages, nil)
		is.NoErr(err)
		is.True(answer.Complete)
		h, err = s.client(entry).History(s.ctx, program)
		is.NoErr(err)
		return h.Calls[number].AnswerBlob != nil && h.Calls[number].AskedBlob != nil
	})
	is.Equal(len(h.Calls[number].AnswerBlob.Holders), 2)
	is.Equal(h.Calls[number].Note, "")
	is.Equal(string(h.Calls[number].Result.Body), answer.Text)

	is.NoErr(s.procs[0].Process.Kill())
	is.NoErr(os.RemoveAll(s.dataDirs[0]))
	s.waitUntil("the next owner reads the texts from the other holder", func() bool {
		var err error
		h, err = s.client(entry).History(s.ctx, program)
		return err == nil && h.Calls[number].Note == ""
	})
	is.True(h.Calls[number].AskedBlob != nil)
	is.Equal(string(h.Calls[number].Result.Body), answer.Text)
	is.True(strings.Contains(h.Calls[number].Asked, messages[0].Content))
	again, err := s.client(entry).Chat(s.ctx, program, number, 256, messages, nil)
	is.NoErr(err)
	is.Equal(again.Text, answer.Text)
}
