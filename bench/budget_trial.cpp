/// x
int main() {}
