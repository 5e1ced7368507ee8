package org.godwithoist.standins;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import java.time.Duration;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Starts one stand-in and runs until the process is ended. */
public final class StandinMain {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
    private static final int USAGE_ERROR = 2;

    @Argument(required = true, metaVar = "KIND", usage = "platform or engine")
    private StandinKind kind;

    @Option(name = "--listen", required = true, metaVar = "IP:PORT", usage = "address to listen on")
    private String listen;

    @Option(name = "--id", metaVar = "ID", usage = "target id in answers and logs")
    private String id = "target";

    private StandinMain() {}

    /** Runs the program. */
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
        Vertx vertx = Vertx.vertx();
        int port = Await.result(kind.start(vertx, endpoint, id), START_TIMEOUT);
        LOG.atInfo().log("%s stand-in %s listens on %s:%d", kind, id, endpoint.ip(), port);
    }
}
