/// Runs a fuzz target without libFuzzer: each file of the corpus, then seeded changes of them.
///
/// Usage: <name>_fuzzer SEED RUNS CORPUS
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <set>
#include <string>
#include <vector>

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n);

namespace {

constexpr int max_changes = 8;

void run(const std::string& input) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

std::vector<std::string> read_corpus(const char* folder) {
    std::set<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        paths.insert(entry.path());
    }
    std::vector<std::string> inputs;
    for (const auto& path : paths) {
        std::ifstream in(path, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    return inputs;
}

std::string change(std::string input, std::mt19937_64& random) {
    const std::size_t changes = 1 + random() % max_changes;
    for (std::size_t i = 0; i < changes && !input.empty(); ++i) {
        const std::size_t at = random() % input.size();
        switch (random() % 3) {
            case 0:
                input[at] = static_cast<char>(random());
                break;
            case 1:
                input.insert(at, 1, static_cast<char>(random()));
                break;
            default:
                input.erase(at, 1 + random() % 4);
                break;
        }
    }
    return input;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s SEED RUNS CORPUS\n", argv[0]);
        return 2;
    }
    std::printf("seed %s\n", argv[1]);
    std::mt19937_64 random(std::stoull(argv[1]));
    const std::vector<std::string> corpus = read_corpus(argv[3]);
    for (const std::string& input : corpus) {
        run(input);
    }
    for (long n = std::stol(argv[2]); n > 0 && !corpus.empty(); --n) {
        run(change(corpus[random() % corpus.size()], random));
    }
    return 0;
}
