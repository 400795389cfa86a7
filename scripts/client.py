"""Streams a completion with an ordinary client library, unchanged."""

import sys

import openai

base_url, key, expected = sys.argv[1:4]
client = openai.OpenAI(base_url=base_url, api_key=key, max_retries=0)

models = [model.id for model in client.models.list()]
assert models == ["assistant"], models

order = {"model": "assistant", "prompt": "airbrush", "max_tokens": 20}
plain = client.completions.create(**order)
assert plain.choices[0].text == expected, plain
assert plain.choices[0].finish_reason == "length", plain
assert plain.usage.completion_tokens == 20, plain

pieces = list(client.completions.create(**order, stream=True))
text = "".join(piece.choices[0].text for piece in pieces)
assert text == expected, text
assert len(pieces) == 20, len(pieces)
assert pieces[-1].choices[0].finish_reason == "length", pieces[-1]

try:
    client.completions.create(**{**order, "model": "nobody"})
    raise AssertionError("an unknown model was served")
except openai.NotFoundError as error:
    assert error.code == "model_not_found", error.code
    assert error.body["ran"] == "no", error.body

print(f"client: {len(pieces)} pieces streamed by openai {openai.__version__}")
