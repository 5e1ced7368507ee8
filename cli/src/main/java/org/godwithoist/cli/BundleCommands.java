package org.godwithoist.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.security.PrivateKey;
import org.godwithoist.bundle.BundleParser;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.OperatorSignature;
import org.godwithoist.bundle.SignatureRole;
import org.godwithoist.bundle.json.BundleSplit;
import org.godwithoist.core.id.OperatorName;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Commands that validate, propose and roll bundles. */
public final class BundleCommands extends CommandGroup {
    private static final String BASE_PATH = "/v1/bundles/";

    @Argument(
            required = true,
            metaVar = "ACTION",
            usage = "validate, diff, submit, review, sign, roll, status or history",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "validate", impl = Validate.class),
        @SubCommand(name = "diff", impl = Diff.class),
        @SubCommand(name = "submit", impl = Submit.class),
        @SubCommand(name = "review", impl = Review.class),
        @SubCommand(name = "sign", impl = Sign.class),
        @SubCommand(name = "roll", impl = Roll.class),
        @SubCommand(name = "status", impl = Status.class),
        @SubCommand(name = "history", impl = History.class),
    })
    private Command command;

    @Override
    Command subcommand() {
        return command;
    }

    @Override
    String description() {
        return "godwithoist bundle ACTION: checks, proposes and rolls bundles.";
    }

    /** Validates a file locally and returns the hash of its manifest, which operators sign. */
    private static ContentHash manifestHash(String file, String text) {
        return BundleSplit.split(BundleParser.parse(file, text)).hash();
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    // ---- checks

    /** Validates a bundle file, locally or at a daemon. */
    public static final class Validate extends DaemonCommand {
        @Argument(required = true, metaVar = "FILE", usage = "bundle file")
        private String file;

        @Override
        String description() {
            return "godwithoist bundle validate FILE: reports all findings of a bundle file; with a"
                    + " daemon also the differences from the bundle in force.";
        }

        @Override
        ExitCode run(Console console) {
            if (hasDaemon(console)) {
                return super.run(console);
            }
            ContentHash manifest = manifestHash(file, Credentials.read(file));
            console.print(new JsonObject().put("manifest", manifest.hex()), isJson());
            return ExitCode.OK;
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            JsonObject body =
                    new JsonObject().put("file", file).put("text", Credentials.read(file));
            return printResponse(console, client.post(BASE_PATH + "validate", body));
        }
    }

    /** Shows the differences between two bundles. */
    public static final class Diff extends DaemonCommand {
        @Argument(required = true, metaVar = "TO", usage = "revision number or proposal")
        private String to;

        @Option(
                name = "--from",
                metaVar = "FROM",
                usage = "revision number or proposal; default: the bundle in force")
        private String from;

        @Override
        String description() {
            return "godwithoist bundle diff TO: shows in plain words how two bundles differ.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            String fromParameter = from == null ? "" : "from=" + urlEncode(from) + "&";
            return printResponse(
                    console,
                    client.get(BASE_PATH + "diff?" + fromParameter + "to=" + urlEncode(to)));
        }
    }

    // ---- stages

    abstract static class SigningCommand extends DaemonCommand {
        @Option(
                name = "--operator",
                metaVar = "NAME",
                usage = "name of the operator; default: environment variable GODWITHOIST_OPERATOR")
        private String operator;

        @Option(
                name = "--key-file",
                metaVar = "FILE",
                usage =
                        "file with the operator's private key; default: environment variables"
                                + " GODWITHOIST_KEY_FILE or GODWITHOIST_KEY")
        private String keyFile;

        OperatorName operator(Console console) {
            String name =
                    console.setting(operator, "GODWITHOIST_OPERATOR")
                            .orElseThrow(
                                    () ->
                                            new CliException(
                                                    ExitCode.USAGE,
                                                    "operator name is missing: pass"
                                                            + " --operator or set"
                                                            + " GODWITHOIST_OPERATOR"));
            try {
                return new OperatorName(name);
            } catch (IllegalArgumentException e) {
                throw new CliException(ExitCode.USAGE, e.getMessage(), e);
            }
        }

        PrivateKey key(Console console) {
            return Credentials.key(console, keyFile);
        }
    }

    /** Signs a bundle as its author and stores it as a proposal. */
    public static final class Submit extends SigningCommand {
        @Argument(required = true, metaVar = "FILE", usage = "bundle file")
        private String file;

        @Override
        String description() {
            return "godwithoist bundle submit FILE: signs a bundle as its author and stores it as a"
                    + " proposal for the next revision.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            String text = Credentials.read(file);
            ContentHash manifest = manifestHash(file, text);
            OperatorName author = operator(console);
            JsonObject status = requireSuccess(client.get(BASE_PATH + "status"));
            if (!status.getBoolean("store_answers", false)) {
                throw new CliException(
                        ExitCode.UNAVAILABLE,
                        "the stored revision is unknown: the table service does not respond");
            }
            JsonObject stored = status.getJsonObject("stored", new JsonObject());
            long revision = stored.getLong("revision", 0L) + 1;
            OperatorSignature signature =
                    OperatorSignature.sign(
                            author,
                            key(console),
                            SignatureRole.AUTHOR.statement(revision, manifest, author));
            JsonObject body =
                    new JsonObject()
                            .put("file", file)
                            .put("text", text)
                            .put("revision", revision)
                            .put("signature", signature.base64());
            return printResponse(console, client.post(BASE_PATH + "submit", body));
        }
    }

    /** Records a review of a proposal. */
    public static final class Review extends DaemonCommand {
        @Argument(required = true, metaVar = "PROPOSAL", usage = "id of the proposal")
        private String proposal;

        @Override
        String description() {
            return "godwithoist bundle review PROPOSAL: records that an operator other than the"
                    + " author has read the proposal; see 'bundle diff PROPOSAL'.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            JsonObject body = new JsonObject().put("proposal", proposal);
            return printResponse(console, client.post(BASE_PATH + "review", body));
        }
    }

    /** Signs a reviewed proposal. */
    public static final class Sign extends SigningCommand {
        @Argument(required = true, metaVar = "PROPOSAL", usage = "id of the proposal")
        private String proposal;

        @Option(
                name = "--file",
                metaVar = "FILE",
                usage = "signs only if the proposal has the content of this bundle file")
        private String file;

        @Override
        String description() {
            return "godwithoist bundle sign PROPOSAL: signs a reviewed proposal as an operator"
                    + " other than its author.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            JsonObject proposalJson =
                    findProposal(requireSuccess(client.get(BASE_PATH + "status")));
            ContentHash manifest;
            byte[] statement;
            try {
                manifest = new ContentHash(proposalJson.getString("manifest", ""));
                OperatorName author = new OperatorName(proposalJson.getString("author", ""));
                statement =
                        SignatureRole.SIGNER.statement(
                                proposalJson.getLong("revision"), manifest, author);
            } catch (IllegalArgumentException e) {
                throw new CliException(
                        ExitCode.FAILED,
                        "the daemon returned a proposal with a malformed manifest or author",
                        e);
            }
            if (file != null && !manifestHash(file, Credentials.read(file)).equals(manifest)) {
                throw new CliException(
                        ExitCode.FAILED,
                        proposal
                                + " was not signed, because its content differs from file "
                                + file);
            }
            OperatorSignature signature =
                    OperatorSignature.sign(operator(console), key(console), statement);
            JsonObject body =
                    new JsonObject().put("proposal", proposal).put("signature", signature.base64());
            return printResponse(console, client.post(BASE_PATH + "sign", body));
        }

        private JsonObject findProposal(JsonObject status) {
            for (Object o : status.getJsonArray("proposals", new JsonArray())) {
                if (o instanceof JsonObject p && proposal.equals(p.getString("proposal"))) {
                    return p;
                }
            }
            throw new CliException(
                    ExitCode.CONFLICT, proposal + " is not an open proposal for the next revision");
        }
    }

    /** Puts a signed proposal in force. */
    public static final class Roll extends DaemonCommand {
        @Argument(required = true, metaVar = "PROPOSAL", usage = "id of the proposal")
        private String proposal;

        @Override
        String description() {
            return "godwithoist bundle roll PROPOSAL: puts a signed proposal in force everywhere;"
                    + " names the members that did not acknowledge.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            JsonObject body = new JsonObject().put("proposal", proposal);
            return printResponse(console, client.post(BASE_PATH + "roll", body));
        }
    }

    // ---- reads

    /** Shows the bundle in force and the open proposals. */
    public static final class Status extends DaemonCommand {
        @Override
        String description() {
            return "godwithoist bundle status: shows the bundle in force and open proposals.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            return printResponse(console, client.get(BASE_PATH + "status"));
        }
    }

    /** Shows the last revisions. */
    public static final class History extends DaemonCommand {
        @Option(name = "--limit", metaVar = "N", usage = "number of revisions; default: 20")
        private int limit = 20;

        @Override
        String description() {
            return "godwithoist bundle history: shows the last revisions and their operators.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            return printResponse(console, client.get(BASE_PATH + "history?limit=" + limit));
        }
    }
}
