package org.godwithoist.acceptance;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.Map;

/** Steps of sessions in which callers talk to the fleet. */
public final class SessionSteps {
    private static final int READY_ATTEMPTS = 100;
    private static final int READY_INTERVAL_MS = 50;
    private static final int OK = 200;

    private final Transcript transcript = new Transcript();
    private final Map<String, JsonArray> chats = new HashMap<>();
    private Fleet fleet;

    /** Starts the processes of a session. */
    @Given("a fleet with {int} engines and {int} daemons")
    public void startFleet(int engines, int daemons) throws IOException, InterruptedException {
        fleet = new Fleet(Files.createTempDirectory("godwithoist-session"));
        fleet.start(engines, daemons);
        for (int i = 1; i <= daemons; i++) {
            awaitReady("daemon-" + i);
        }
    }

    /** Sends the next turn of a chat. */
    @When("chat {string} of workspace {string} says {string} at {string}")
    public void say(String chat, String workspace, String text, String daemon)
            throws IOException, InterruptedException {
        turn(chat, workspace, text, daemon, false);
    }

    /** Sends the next turn of a chat and asks for a stream. */
    @When("chat {string} of workspace {string} says {string} at {string} and streams")
    public void stream(String chat, String workspace, String text, String daemon)
            throws IOException, InterruptedException {
        turn(chat, workspace, text, daemon, true);
    }

    /** Compares the session with its golden file. */
    @Then("the session matches {string}")
    public void matches(String session) throws IOException {
        transcript.compare(session);
    }

    /** Ends the processes of the session. */
    @After
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    private void turn(String chat, String workspace, String text, String daemon, boolean stream)
            throws IOException, InterruptedException {
        JsonArray messages = chats.computeIfAbsent(chat, c -> new JsonArray());
        messages.add(new JsonObject().put("role", "user").put("content", text));
        JsonObject body =
                new JsonObject()
                        .put("model", "assistant")
                        .put("messages", messages)
                        .put("stream", stream);
        transcript.in(daemon + " POST /v1/chat/completions " + workspace + " " + chat);
        transcript.in(body.encode());
        HttpResponse<String> answer =
                fleet.send(
                        "POST",
                        daemon,
                        "/v1/chat/completions",
                        body.encode(),
                        headers(workspace, chat));
        transcript.out(answer.statusCode() + " " + answer.body().strip());
        if (answer.statusCode() == OK && !stream) {
            messages.add(
                    new JsonObject(answer.body())
                            .getJsonArray("choices")
                            .getJsonObject(0)
                            .getJsonObject("message"));
        }
    }

    private static Map<String, String> headers(String workspace, String chat) {
        return Map.of("Authorization", "Bearer key-of-" + workspace, "X-Chat-Id", chat);
    }

    private void awaitReady(String daemon) throws IOException, InterruptedException {
        for (int i = 0; i < READY_ATTEMPTS; i++) {
            if (fleet.send("GET", daemon, "/readyz", "", Map.of()).statusCode() == OK) {
                return;
            }
            Thread.sleep(READY_INTERVAL_MS);
        }
        throw new AssertionError(daemon + " has no bundle");
    }
}
