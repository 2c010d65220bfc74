package emulator

import (
	"encoding/json"
	"strings"
)

// textHash returns the FNV-1a hash of text. extendHash(textHash(a), b) equals textHash(a+b).
func textHash(text string) uint64 { return extendHash(fnvOffset, text) }

func extendHash(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// nextToken returns the token that follows a text with the given hash: a space and a word.
func nextToken(hash uint64) string {
	// FNV-1a mixes its last input bytes poorly, so the hash is mixed further before it selects syllables.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	var word strings.Builder
	word.WriteByte(' ')
	for range syllables {
		word.WriteByte(consonants[hash%uint64(len(consonants))])
		hash /= uint64(len(consonants))
		word.WriteByte(vowels[hash%uint64(len(vowels))])
		hash /= uint64(len(vowels))
	}
	return word.String()
}

// GenerateText returns the concatenation of the first n tokens that an engine generates for a model and a prompt.
func GenerateText(model, prompt string, n int) string {
	hash := extendHash(textHash(model+"\x00"), prompt)
	var out strings.Builder
	for range n {
		token := nextToken(hash)
		hash = extendHash(hash, token)
		out.WriteString(token)
	}
	return out.String()
}

// prefixBlockHashes returns a hash for each full block of the prompt. The hash covers the model and the prompt up to
// the end of the block.
func prefixBlockHashes(model string, words []string) []uint64 {
	var blocks []uint64
	hash := textHash(model)
	for len(words) >= prefixBlockTokens {
		hash = extendHash(hash, "\x00"+strings.Join(words[:prefixBlockTokens], " "))
		blocks = append(blocks, hash)
		words = words[prefixBlockTokens:]
	}
	return blocks
}

// promptText returns the text of a prompt, which is a string, a list of strings or a list of token IDs.
func promptText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, "\n")
	}
	// The JSON of a list of token IDs serves as its text.
	return string(raw)
}
