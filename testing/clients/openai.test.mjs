// Checks that an unmodified, widely used client library works when only its
// base URL and key are set.
import assert from "node:assert/strict";
import { test } from "node:test";
import OpenAI from "openai";

const client = new OpenAI({
  baseURL: process.env.PERIDOTGATE_URL + "/v1",
  apiKey: process.env.PERIDOTGATE_KEY,
  maxRetries: 0,
});
const messages = [{ role: "user", content: "What does lot 7 cost?" }];

test("lists the organisation's models", async () => {
  const { data: models, response } = await client.models.list().withResponse();
  assert.match(response.headers.get("x-request-id"), /^[0-9a-f]{32}$/);
  assert.deepEqual(models.data.map((it) => it.id), ["horn-1"]);
});

test("a whole response and a streamed one have the same text", async () => {
  const whole = await client.chat.completions.create({
    model: "horn-1", max_tokens: 12, messages,
  });
  const stream = await client.chat.completions.create({
    model: "horn-1", max_tokens: 12, messages, stream: true,
  });
  let text = "";
  for await (const chunk of stream) {
    text += chunk.choices[0].delta.content;
  }
  assert.equal(text, whole.choices[0].message.content);
});

test("a rejected request raises an error with its HTTP status", async () => {
  const wrong = new OpenAI({
    baseURL: process.env.PERIDOTGATE_URL + "/v1", apiKey: "wrong", maxRetries: 0,
  });
  await assert.rejects(wrong.models.list(), { status: 401 });
  await assert.rejects(
    client.chat.completions.create({ model: "no-such", messages }),
    { status: 404 });
});
