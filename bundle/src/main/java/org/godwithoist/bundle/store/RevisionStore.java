package org.godwithoist.bundle.store;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.Manifest;
import org.godwithoist.bundle.PartContent;
import org.godwithoist.bundle.Revision;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.task.Await;
import org.godwithoist.store.ObjectStore;

/**
 * Saves revisions to the object store and loads them from peers or the store. Parts of the revision
 * in force and of recently used revisions are reused, so that only changed parts are transferred.
 * Thread-safe.
 */
public final class RevisionStore {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String KEY_PREFIX = "bundle/";
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_PUT_ATTEMPTS = 3;

    /**
     * Maximum number of concurrent requests to the object store for one revision; limits the load
     * that a daemon puts on it.
     */
    private static final int MAX_CONCURRENT_REQUESTS = 16;

    /**
     * Enough for the proposals under review and their predecessors; parts of other revisions are
     * fetched again.
     */
    private static final int MAX_CACHED_REVISIONS = 4;

    private final ObjectStore objects;
    private final HeadState state;
    private final Deque<Revision> recent = new ArrayDeque<>();
    private final LongAdder fetchedBytes = new LongAdder();

    /** Creates a store that reuses the parts of the revision in force in {@code state}. */
    public RevisionStore(ObjectStore objects, HeadState state) {
        this.objects = objects;
        this.state = state;
    }

    // ---- cache

    /** Returns the encoded part or manifest with the given hash, or empty if not in memory. */
    public Optional<byte[]> findCached(ContentHash hash) {
        return cachedRevisions().stream()
                .map(r -> r.objects().get(hash))
                .filter(b -> b != null)
                .findFirst();
    }

    /** Returns the total size in bytes of the parts and manifests fetched from sources. */
    public long fetchedBytes() {
        return fetchedBytes.sum();
    }

    /** Caches a revision for reuse; evicts the least recently cached one if there are too many. */
    public void cache(Revision revision) {
        synchronized (recent) {
            recent.removeIf(r -> r.hash().equals(revision.hash()));
            recent.addFirst(revision);
            if (recent.size() > MAX_CACHED_REVISIONS) {
                recent.removeLast();
            }
        }
    }

    private List<Revision> cachedRevisions() {
        List<Revision> list = new ArrayList<>();
        state.inForce().ifPresent(f -> list.add(f.revision()));
        synchronized (recent) {
            list.addAll(recent);
        }
        return list;
    }

    private static Optional<PartContent> findParsed(List<Revision> cached, ContentHash hash) {
        for (Revision r : cached) {
            Optional<PartContent> part = r.parsed(hash);
            if (part.isPresent()) {
                return part;
            }
        }
        return Optional.empty();
    }

    // ---- load

    /**
     * Loads a revision. Objects that are not in memory are fetched from the sources in order.
     *
     * @throws RequestException with {@code STORE_UNAVAILABLE} if no source has all parts
     * @throws IllegalArgumentException if the content is not a valid bundle
     */
    public Revision load(ContentHash manifest, List<ObjectSource> sources) {
        List<Revision> cached = cachedRevisions();
        for (Revision r : cached) {
            if (r.hash().equals(manifest)) {
                return r;
            }
        }
        Manifest parts = Manifest.decode(fetch(Set.of(manifest), cached, sources).get(manifest));
        Map<ContentHash, byte[]> content =
                fetch(new HashSet<>(parts.parts().values()), cached, sources);
        Revision revision = Revision.assemble(parts, content, hash -> findParsed(cached, hash));
        cache(revision);
        return revision;
    }

    private Map<ContentHash, byte[]> fetch(
            Set<ContentHash> wanted, List<Revision> cached, List<ObjectSource> sources) {
        Map<ContentHash, byte[]> found = new HashMap<>();
        Set<ContentHash> missing = new HashSet<>();
        for (ContentHash hash : wanted) {
            cached.stream()
                    .map(r -> r.objects().get(hash))
                    .filter(b -> b != null)
                    .findFirst()
                    .ifPresentOrElse(b -> found.put(hash, b), () -> missing.add(hash));
        }
        for (ObjectSource source : sources) {
            if (missing.isEmpty()) {
                break;
            }
            try {
                source.fetch(Set.copyOf(missing))
                        .forEach((hash, bytes) -> acceptObject(hash, bytes, missing, found));
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log(
                        "cannot fetch bundle parts from one of the sources; trying the next one");
            }
        }
        if (!missing.isEmpty()) {
            throw RequestException.notRun(
                    ErrorCode.STORE_UNAVAILABLE,
                    missing.size() + " parts of the bundle are not available from any source");
        }
        return found;
    }

    private void acceptObject(
            ContentHash hash,
            byte[] bytes,
            Set<ContentHash> missing,
            Map<ContentHash, byte[]> found) {
        if (!ContentHash.of(bytes).equals(hash)) {
            LOG.atWarning().log("discarded content for part %s because its hash differs", hash);
            return;
        }
        if (missing.remove(hash)) {
            fetchedBytes.add(bytes.length);
            found.put(hash, bytes);
        }
    }

    /** Returns a source that fetches from the object store. */
    public ObjectSource objectStoreSource() {
        return wanted -> {
            Map<ContentHash, byte[]> found = new HashMap<>();
            Map<ContentHash, CompletableFuture<Optional<byte[]>>> batch = new LinkedHashMap<>();
            for (ContentHash hash : wanted) {
                batch.put(hash, objects.get(KEY_PREFIX + hash));
                if (batch.size() == MAX_CONCURRENT_REQUESTS) {
                    awaitBatch(batch, found);
                }
            }
            awaitBatch(batch, found);
            return found;
        };
    }

    private static void awaitBatch(
            Map<ContentHash, CompletableFuture<Optional<byte[]>>> batch,
            Map<ContentHash, byte[]> found) {
        batch.forEach(
                (hash, future) ->
                        Await.result(future, STORE_TIMEOUT).ifPresent(b -> found.put(hash, b)));
        batch.clear();
    }

    // ---- save

    /**
     * Saves the parts that the revision in force does not have, then the manifest, so that the
     * parts of a stored manifest are always stored. Idempotent.
     *
     * @throws RequestException with {@code STORE_UNAVAILABLE} if the store does not respond
     */
    public void save(Revision revision) {
        Set<ContentHash> stored = new HashSet<>();
        state.inForce().ifPresent(f -> stored.addAll(f.revision().objects().keySet()));
        List<ContentHash> parts =
                revision.manifest().parts().values().stream()
                        .distinct()
                        .filter(h -> !stored.contains(h))
                        .toList();
        for (int from = 0; from < parts.size(); from += MAX_CONCURRENT_REQUESTS) {
            put(
                    revision,
                    parts.subList(from, Math.min(parts.size(), from + MAX_CONCURRENT_REQUESTS)));
        }
        put(revision, List.of(revision.hash()));
        cache(revision);
    }

    private void put(Revision revision, List<ContentHash> hashes) {
        Set<ContentHash> remaining = new HashSet<>(hashes);
        RuntimeException lastFailure = null;
        for (int attempt = 0; attempt < MAX_PUT_ATTEMPTS && !remaining.isEmpty(); attempt++) {
            Map<ContentHash, CompletableFuture<Void>> batch = new LinkedHashMap<>();
            remaining.forEach(
                    h -> batch.put(h, objects.put(KEY_PREFIX + h, revision.objects().get(h))));
            for (var e : batch.entrySet()) {
                try {
                    Await.result(e.getValue(), STORE_TIMEOUT);
                    remaining.remove(e.getKey());
                } catch (RuntimeException failure) {
                    lastFailure = failure;
                }
            }
        }
        if (!remaining.isEmpty()) {
            throw RequestException.notRun(
                            ErrorCode.STORE_UNAVAILABLE,
                            "cannot save bundle parts in the object store")
                    .withCause(lastFailure);
        }
    }
}
