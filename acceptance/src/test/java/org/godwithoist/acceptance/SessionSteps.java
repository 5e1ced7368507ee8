package org.godwithoist.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.core.task.Tasks;

/** Steps of sessions in which callers and operators use a fleet. */
public final class SessionSteps {
    private static final int READY_ATTEMPTS = 100;
    private static final int READY_INTERVAL_MS = 50;
    private static final int OK = 200;

    /** At 300 ms per word, the engine has by then sent some words but not the complete response. */
    private static final Duration PARTIAL_RESPONSE_DELAY = Duration.ofMillis(900);

    private static final List<String> DAEMONS = List.of("daemon-1", "daemon-2");

    private final Transcript transcript = new Transcript();
    private final Map<String, JsonArray> chats = new HashMap<>();
    private final Map<String, String> proposals = new HashMap<>();
    private Fleet fleet;
    private int engines;
    private int lastChat;
    private long countStartMillis;

    /** Starts the processes of a session. */
    @Given("a fleet with {int} engines and {int} daemons")
    public void startFleet(int engines, int daemons) throws IOException, InterruptedException {
        fleet = new Fleet(Files.createTempDirectory("godwithoist-session"));
        this.engines = engines;
        fleet.start(engines, daemons);
        for (int i = 1; i <= daemons; i++) {
            awaitReady("daemon-" + i);
        }
    }

    /** Sends the next turn of a chat. */
    @When("chat {string} of workspace {string} says {string} at {string}")
    public void sendTurn(String chat, String workspace, String text, String daemon)
            throws IOException, InterruptedException {
        exchangeTurn(chat, workspace, text, daemon, false);
    }

    /** Sends the next turn of a chat and requests a streamed response. */
    @When("chat {string} of workspace {string} says {string} at {string} and streams")
    public void sendStreamedTurn(String chat, String workspace, String text, String daemon)
            throws IOException, InterruptedException {
        exchangeTurn(chat, workspace, text, daemon, true);
    }

    // ---- faults

    /** Sets fault switches of all engines. */
    @Given("engine faults {} at all engines")
    public void injectEngineFaults(String faults) throws IOException, InterruptedException {
        for (int i = 1; i <= engines; i++) {
            fleet.send("POST", "engine-" + i, "/faults", faults, Map.of());
        }
        transcript.addNote("engine faults " + faults);
    }

    /** Sets fault switches of the platform. */
    @Given("platform faults {}")
    public void injectPlatformFaults(String faults) throws IOException, InterruptedException {
        fleet.send("POST", "platform", "/faults", faults, Map.of());
        transcript.addNote("platform faults " + faults);
    }

    /** Sets the fault of the service's next requests. */
    @Given("the service fault {string} for {int} calls")
    public void injectServiceFault(String fault, int calls)
            throws IOException, InterruptedException {
        JsonObject body = new JsonObject().put("fault", fault).put("calls", calls);
        fleet.send("POST", "tickets-1", "/faults", body.encode(), Map.of());
        transcript.addNote("service fault " + fault + " for " + calls + " calls");
    }

    /** Kills the engine of a chat while it streams a response. */
    @When(
            "chat {string} of workspace {string} says {string} at {string} while its engine is killed")
    public void sendTurnWhileEngineIsKilled(
            String chat, String workspace, String text, String daemon)
            throws IOException, InterruptedException {
        setEngineFaults("{\"slow_factor\": 20}");
        Thread killer =
                Thread.startVirtualThread(
                        () -> {
                            String engine = awaitBusyEngine();
                            Tasks.sleep(PARTIAL_RESPONSE_DELAY);
                            fleet.process(engine).kill();
                        });
        exchangeTurn(chat, workspace, text, daemon, true);
        killer.join();
    }

    /** Kills a daemon, starts a new process with the same settings and waits until it is ready. */
    @When("{string} is killed and started again")
    public void restart(String daemon) throws IOException, InterruptedException {
        fleet.process(daemon).kill();
        fleet.startDaemon(daemon);
        awaitReady(daemon);
        transcript.addNote(daemon + " was killed and started again and is ready");
    }

    // ---- plain services

    /** Sends a request with an idempotency key to a plain service. */
    @When("workspace {string} posts {} to {string} with key {string} at {string}")
    public void postWithKey(String workspace, String body, String path, String key, String daemon)
            throws IOException, InterruptedException {
        transcript.addRequest(
                daemon + " POST " + path + " " + workspace + " key " + key + " " + body);
        HttpResponse<String> response =
                fleet.send(
                        "POST",
                        daemon,
                        path,
                        body,
                        Map.of(
                                "Authorization",
                                "Bearer key-of-" + workspace,
                                "Idempotency-Key",
                                key,
                                "Content-Type",
                                "application/json"));
        recordResponse(response);
    }

    /** Checks in the service's own log how many times it executed the request with a key. */
    @Then("the service executed key {string} {int} times")
    public void checkExecutions(String key, int times) throws IOException, InterruptedException {
        JsonArray log =
                new JsonObject(fleet.send("GET", "tickets-1", "/log", "", Map.of()).body())
                        .getJsonArray("log");
        long count =
                log.stream().filter(e -> key.equals(((JsonObject) e).getString("key"))).count();
        assertEquals(times, count, log.encodePrettily());
        transcript.addNote("the service's log has " + count + " execution of key " + key);
    }

    // ---- operators

    /** Runs an operator's command and records its output. */
    @When("operator {string} runs {string}")
    public void runOperatorCommand(String operator, String command) {
        runCommand(operator, command.split(" ", -1));
    }

    /** Submits a bundle that changes the share of a workspace. */
    @When("operator {string} submits a bundle with share {int} for {string}")
    public void submit(String operator, int share, String workspace) throws IOException {
        Path file = fleet.bundleWithShare(workspace, share);
        CliRun run = runCommand(operator, "bundle", "submit", file.toString(), "--json");
        proposals.put(operator, new JsonObject(run.output()).getString("proposal"));
    }

    /** Signs a proposal; the exit code is recorded, so the attempt may fail. */
    @When("operator {string} signs the bundle of {string}")
    public void sign(String operator, String author) {
        runCommand(operator, "bundle", "sign", proposals.get(author));
    }

    /** Reviews a proposal. */
    @When("operator {string} reviews the bundle of {string}")
    public void review(String operator, String author) {
        runCommand(operator, "bundle", "review", proposals.get(author));
    }

    /** Reviews and signs a proposal. */
    @When("operator {string} reviews and signs the bundle of {string}")
    public void reviewAndSign(String operator, String author) {
        runCommand(operator, "bundle", "review", proposals.get(author));
        runCommand(operator, "bundle", "sign", proposals.get(author));
    }

    /** Rolls a proposal out as the bundle in force. */
    @When("operator {string} rolls the bundle of {string}")
    public void roll(String operator, String author) {
        runCommand(operator, "bundle", "roll", proposals.get(author));
    }

    /** Checks the bundle in force at both daemons. */
    @Then("both daemons have revision {int}")
    public void checkRevision(int revision) throws IOException, InterruptedException {
        for (String daemon : DAEMONS) {
            assertEquals(revision, fleet.status(daemon).getInteger("bundle_revision"), daemon);
        }
        transcript.addNote("both daemons have revision " + revision);
    }

    /** Checks the number of entries in a daemon's host list: engines, services and daemons. */
    @Then("{string} knows {int} hosts")
    public void checkHostCount(String daemon, int count) throws IOException, InterruptedException {
        JsonObject list = fleet.status(daemon).getJsonObject("host_list");
        assertEquals(count, list.getInteger("entries"), list.encode());
        transcript.addNote(daemon + " knows " + count + " hosts");
    }

    // ---- failure domains

    /** Waits, and counts later engine requests from the end of the wait. */
    @When("{int} seconds pass")
    public void waitSeconds(int seconds) throws InterruptedException {
        Thread.sleep(seconds * 1_000L);
        countStartMillis = System.currentTimeMillis();
        transcript.addNote(seconds + " seconds pass");
    }

    /** Starts new chats, alternating between the daemons. */
    @When("{int} new chats of workspace {string} are answered at both daemons")
    public void startChats(int count, String workspace) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            lastChat++;
            String chat = "new-" + lastChat;
            JsonObject message = new JsonObject().put("role", "user").put("content", "Hello.");
            JsonObject body =
                    new JsonObject()
                            .put("model", "assistant")
                            .put("messages", new JsonArray().add(message));
            HttpResponse<String> response =
                    fleet.send(
                            "POST",
                            DAEMONS.get(i % DAEMONS.size()),
                            "/v1/chat/completions",
                            body.encode(),
                            headers(workspace, chat));
            assertEquals(OK, response.statusCode(), response.body());
        }
        transcript.addNote(count + " new chats were answered");
    }

    /** Checks in the engines' own logs how many requests they accepted since the last wait. */
    @Then("engines of {string} accepted {int} requests since the order")
    public void checkAccepted(String domain, int count) throws IOException, InterruptedException {
        assertEquals(count, acceptedSinceWait(domain));
        transcript.addNote("engines of " + domain + " accepted " + count + " requests");
    }

    /** Checks in the engines' own logs that they accepted requests since the last wait. */
    @Then("engines of {string} accepted some requests since the order")
    public void checkAcceptedSome(String domain) throws IOException, InterruptedException {
        assertTrue(acceptedSinceWait(domain) > 0, domain);
        transcript.addNote("engines of " + domain + " accepted requests again");
    }

    // ---- bad input

    /** Sends a body unchanged, even if it is not valid JSON. */
    @When("a caller sends {string} with key {string}")
    public void sendRaw(String body, String key) throws IOException, InterruptedException {
        transcript.addRequest("daemon-1 POST /v1/chat/completions " + body);
        recordResponse(
                fleet.send(
                        "POST",
                        "daemon-1",
                        "/v1/chat/completions",
                        body,
                        Map.of("Authorization", "Bearer " + key)));
    }

    /** Compares the session with its golden file. */
    @Then("the session matches {string}")
    public void compareTranscript(String session) throws IOException {
        transcript.compareWithGolden(session);
    }

    /** Stops the processes of the session. */
    @After
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    private void exchangeTurn(
            String chat, String workspace, String text, String daemon, boolean stream)
            throws IOException, InterruptedException {
        JsonArray messages = chats.computeIfAbsent(chat, c -> new JsonArray());
        messages.add(new JsonObject().put("role", "user").put("content", text));
        JsonObject body =
                new JsonObject()
                        .put("model", "assistant")
                        .put("messages", messages)
                        .put("stream", stream);
        transcript.addRequest(daemon + " POST /v1/chat/completions " + workspace + " " + chat);
        transcript.addRequest(body.encode());
        HttpResponse<String> response =
                fleet.send(
                        "POST",
                        daemon,
                        "/v1/chat/completions",
                        body.encode(),
                        headers(workspace, chat));
        transcript.addResponse(response.statusCode() + " " + response.body().strip());
        if (response.statusCode() == OK && !stream) {
            messages.add(
                    new JsonObject(response.body())
                            .getJsonArray("choices")
                            .getJsonObject(0)
                            .getJsonObject("message"));
        }
    }

    private void recordResponse(HttpResponse<String> response) {
        String runState = response.headers().firstValue("X-Run-State").orElse("-");
        transcript.addResponse(
                response.statusCode() + " run state " + runState + " " + response.body().strip());
    }

    private CliRun runCommand(String operator, String... command) {
        CliRun run = fleet.operator(operator).run(command);
        transcript.addRequest(operator + " godwithoist " + String.join(" ", command));
        transcript.addResponse(run.code() + " " + run.output().strip() + run.errors().strip());
        return run;
    }

    private void setEngineFaults(String faults) throws IOException, InterruptedException {
        for (int i = 1; i <= engines; i++) {
            fleet.send("POST", "engine-" + i, "/faults", faults, Map.of());
        }
    }

    private String awaitBusyEngine() {
        for (int i = 0; i < READY_ATTEMPTS; i++) {
            for (int e = 1; e <= engines; e++) {
                if (hasAcceptedRequest("engine-" + e)) {
                    return "engine-" + e;
                }
            }
        }
        throw new AssertionError(
                "no engine's log shows an accepted request in "
                        + READY_ATTEMPTS
                        + " reads of each log");
    }

    private boolean hasAcceptedRequest(String engine) {
        try {
            Thread.sleep(READY_INTERVAL_MS);
            return fleet.send("GET", engine, "/log", "", Map.of()).body().contains("accepted");
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private long acceptedSinceWait(String domain) throws IOException, InterruptedException {
        long count = 0;
        for (int i = 1; i <= engines; i++) {
            if (!Fleet.domainOf(i).equals(domain)) {
                continue;
            }
            String log = fleet.send("GET", "engine-" + i, "/log", "", Map.of()).body();
            count +=
                    new JsonObject(log)
                            .getJsonArray("log").stream()
                                    .map(JsonObject.class::cast)
                                    .filter(e -> e.getString("kind").equals("accepted"))
                                    .filter(e -> e.getLong("at") >= countStartMillis)
                                    .count();
        }
        return count;
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
        throw new AssertionError(daemon + " is not ready: /readyz did not return 200 in time");
    }
}
