package org.godwithoist.standins;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;
import org.godwithoist.standins.engine.EngineOptions;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Main class of a stand-in process. The process serves requests until it is killed. */
public final class StandinMain {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
    private static final int USAGE_ERROR = 2;

    @Argument(required = true, metaVar = "KIND", usage = "PLATFORM, ENGINE or SERVICE")
    private StandinKind kind;

    @Option(name = "--listen", required = true, metaVar = "IP:PORT", usage = "address to listen on")
    private String listen;

    @Option(name = "--id", metaVar = "ID", usage = "target id in answers and logs")
    private String id = "target";

    @Option(name = "--token-ms", metaVar = "MS", usage = "engines: time between tokens")
    private long tokenMillis = EngineOptions.DEFAULT.tokenMillis();

    @Option(name = "--ignore-fencing", usage = "engines: carry out orders with old numbers too")
    private boolean ignoreFencing;

    private StandinMain() {}

    /** Starts the stand-in that the arguments name; exits with status 2 on invalid arguments. */
    public static void main(String[] args) {
        StandinMain main = new StandinMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
        main.run();
    }

    private void run() {
        Endpoint endpoint = Endpoint.parse(listen);
        EngineOptions options =
                EngineOptions.DEFAULT
                        .withTokenMillis(tokenMillis)
                        .withChecksFencing(!ignoreFencing)
                        .withIncarnation(System.currentTimeMillis());
        // The stand-ins access their state without locks, which requires a single event loop.
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        HttpServer server = Await.result(kind.listen(vertx, endpoint, id, options), START_TIMEOUT);
        LOG.atInfo().log(
                "%s stand-in %s listens on %s:%d", kind, id, endpoint.ip(), server.actualPort());
    }
}
