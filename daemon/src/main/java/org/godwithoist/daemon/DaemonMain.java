package org.godwithoist.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.godwithoist.core.json.FindingsException;
import org.godwithoist.settings.DaemonSettings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Entry point of {@code godwithoistd}. */
public final class DaemonMain {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int USAGE_ERROR = 2;
    private static final int SETTINGS_ERROR = 3;

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file")
    private Path settingsFile;

    private DaemonMain() {}

    /** Starts the daemon; it drains when the process is terminated. */
    public static void main(String[] args) {
        DaemonMain main = new DaemonMain();
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
        try {
            String text = Files.readString(settingsFile);
            Daemon daemon = new Daemon(DaemonSettings.parse(settingsFile.toString(), text));
            daemon.start();
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain, "drain"));
        } catch (FindingsException e) {
            System.err.println(e.getMessage());
            System.exit(SETTINGS_ERROR);
        } catch (IOException e) {
            LOG.atSevere().withCause(e).log("cannot read the settings file %s", settingsFile);
            System.exit(SETTINGS_ERROR);
        }
    }
}
