package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"greengageroute.example/greengageroute/standin"
)

type (
	// prompt is one chat request of a test.
	prompt struct {
		key     string
		content string
		seed    uint64
		tokens  int
		lastID  string
	}

	// reply is what the caller got.
	reply struct {
		status int
		tokens []string
		lastID string
		whole  bool // the end mark came
		count  int  // tokens that the end mark counts
		cut    bool // an error event came
		body   string
		err    error
	}

	// outcome is what a caller was told of an action.
	outcome struct {
		status  int
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
		body    string
		err     error
	}
)

func (prompt prompt) body() string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"seed":%d,"messages":[{"role":"user","content":%q}]}`,
		modelName, prompt.tokens, prompt.seed, prompt.content)
}

// want is the token that the engines give at an offset.
func (prompt prompt) want(offset int) string {
	return standin.Token(modelName, "user: "+prompt.content+"\n", prompt.seed, offset)
}

// chat sends the prompt and reads the stream to its end. each is called with
// the number of tokens received so far; it may be nil.
func chat(ctx context.Context, listen string, prompt prompt, each func(int)) reply {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listen+"/v1/chat/completions", strings.NewReader(prompt.body()))
	key := prompt.key
	if key == "" {
		key = counterKey
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if prompt.lastID != "" {
		request.Header.Set("Last-Event-ID", prompt.lastID)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	found := reply{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		found.body = string(body)
		return found
	}
	found.read(response.Body, each)
	return found
}

func (reply *reply) read(body io.Reader, each func(int)) {
	lines := bufio.NewScanner(body)
	id, failing := "", false
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			id = value
		case name == "event":
			failing = value == "error"
		case name != "data":
			continue
		case failing:
			reply.cut, reply.body = true, value
		case value == "[DONE]":
			reply.whole = true
		default:
			reply.chunk(value, id)
			if each != nil {
				each(len(reply.tokens))
			}
		}
	}
	reply.err = lines.Err()
}

func (reply *reply) chunk(data, id string) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		reply.err = err
		return
	}
	if chunk.Usage != nil {
		reply.count = chunk.Usage.CompletionTokens
		return
	}
	reply.tokens = append(reply.tokens, chunk.Choices[0].Delta.Content)
	reply.lastID = id
}

// act sends an action under a key.
func act(ctx context.Context, listen, key, body string) outcome {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listen+"/services/ledger/deposits", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+counterKey)
	request.Header.Set("Idempotency-Key", key)
	return told(request)
}

// ask asks for the outcome of an action.
func ask(ctx context.Context, listen, key string) outcome {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listen+"/actions/"+key, nil)
	request.Header.Set("Authorization", "Bearer "+counterKey)
	return told(request)
}

func told(request *http.Request) outcome {
	client := &http.Client{Timeout: 15 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	found := outcome{status: response.StatusCode, body: string(body), err: err}
	_ = json.Unmarshal(body, &found) // a done action's answer is plain text
	return found
}
