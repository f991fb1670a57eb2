"""The `openai` Python client, unchanged, before a running `lagoon-entry`.

    pip install openai
    python examples/openai_client.py http://127.0.0.1:8000 KEY MODEL
"""

import sys

import openai


def main():
    address, key, model = sys.argv[1:]
    client = openai.OpenAI(base_url=f"{address}/v1", api_key=key, max_retries=0)

    names = [entry.id for entry in client.models.list()]
    print("models:", ", ".join(names))
    assert model in names

    answer = client.completions.create(model=model, prompt="Sort: tin, lid", max_tokens=5)
    print("completion:", repr(answer.choices[0].text), answer.usage)
    assert answer.usage.completion_tokens == 5

    messages = [{"role": "user", "content": "Sort: tin, lid"}]
    answer = client.chat.completions.create(model=model, messages=messages, max_tokens=5)
    print("chat:", repr(answer.choices[0].message.content), answer.choices[0].finish_reason)
    assert answer.choices[0].message.role == "assistant"

    stream = client.completions.create(model=model, prompt="Sort", max_tokens=5, stream=True)
    pieces = [chunk.choices[0].text for chunk in stream if chunk.choices]
    print("streamed completion:", pieces)

    stream = client.chat.completions.create(
        model=model, messages=messages, max_tokens=5, stream=True
    )
    chunks = [chunk for chunk in stream if chunk.choices]
    pieces = [chunk.choices[0].delta.content for chunk in chunks]
    print("streamed chat:", pieces, chunks[-1].choices[0].finish_reason)

    raw = client.chat.completions.with_raw_response.create(
        model=model, messages=messages, max_tokens=2
    )
    print("outcome:", raw.headers["lagoon-outcome"])
    assert raw.headers["lagoon-outcome"] == "done"

    expect(openai.NotFoundError, client, model="no-such-model")
    expect(openai.AuthenticationError, client.with_options(api_key="wrong"), model=model)
    late = {"Lagoon-Deadline-Ms": "-1"}
    expect(openai.BadRequestError, client, model=model, extra_headers=late)


def expect(kind, client, **call):
    try:
        client.completions.create(prompt="tin", max_tokens=1, **call)
    except kind as error:
        print(f"{kind.__name__}:", error.status_code, error.body)
    else:
        raise AssertionError(f"{kind.__name__} expected")


if __name__ == "__main__":
    main()
